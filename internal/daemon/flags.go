package daemon

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/inifile"
)

// Exit statuses of all daemons.
const (
	ExitSuccess   = 0
	ExitFailure   = 1
	ExitBadConfig = 2 // wrong flags or a wrong configuration
)

// Flags are the command line flags of all daemons.
type Flags struct {
	Config      string `long:"config" value-name:"FILE" description:"Read the configuration from this INI file."`
	CheckConfig bool   `long:"check-config" description:"Check the configuration and exit: status 0 when it is valid, else 2."`
	PrintConfig bool   `long:"print-config" description:"Print the configuration, documented, and exit; without --config the defaults."`
	Version     bool   `long:"version" description:"Print the version and exit."`
}

// ParseResult tells what a process does after its flags have been handled.
type ParseResult struct {
	Exit       bool // end now with Status
	ExitStatus int
	ConfigPath string // path of the configuration file, when the process goes on
}

// ParseFlags handles the command line and reads the configuration file into
// config, which package inifile binds. Mistakes go to stderr, all of them.
func ParseFlags(name string, args []string, config any, stdout, stderr io.Writer) ParseResult {
	var options Flags
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		panic(err) // a mistake in the tags of Flags
	}
	rest, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, err)
		return ParseResult{Exit: true, ExitStatus: ExitSuccess}
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ParseResult{Exit: true, ExitStatus: ExitBadConfig}
	}
	return options.follow(name, config, stdout, stderr)
}

func (o Flags) follow(name string, config any, stdout, stderr io.Writer) ParseResult {
	if o.Version {
		fmt.Fprintf(stdout, "%s %s\n", name, Version())
		return ParseResult{Exit: true, ExitStatus: ExitSuccess}
	}
	if o.Config == "" {
		return o.withoutFile(name, config, stdout, stderr)
	}
	if err := inifile.Read(o.Config, config); err != nil {
		fmt.Fprintln(stderr, err)
		return ParseResult{Exit: true, ExitStatus: ExitBadConfig}
	}
	if o.PrintConfig {
		return printed(inifile.Write(stdout, config))
	}
	if o.CheckConfig {
		return ParseResult{Exit: true, ExitStatus: ExitSuccess}
	}
	return ParseResult{ConfigPath: o.Config}
}

func (o Flags) withoutFile(name string, config any, stdout, stderr io.Writer) ParseResult {
	if o.PrintConfig {
		return printed(inifile.WriteDefault(stdout, config))
	}
	fmt.Fprintf(stderr, "%s: --config is required\n", name)
	return ParseResult{Exit: true, ExitStatus: ExitBadConfig}
}

func printed(err error) ParseResult {
	if err != nil {
		return ParseResult{Exit: true, ExitStatus: ExitFailure}
	}
	return ParseResult{Exit: true, ExitStatus: ExitSuccess}
}
