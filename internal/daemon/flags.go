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
	ExitBadConfig = 2 // invalid flags or configuration
)

// Flags are the command line flags of all daemons.
type Flags struct {
	Config      string `long:"config" value-name:"FILE" description:"Read the configuration from this INI file."`
	CheckConfig bool   `long:"check-config" description:"Check the configuration and exit: status 0 when it is valid, else 2."`
	PrintConfig bool   `long:"print-config" description:"Print the configuration, documented, and exit; without --config the defaults."`
	Version     bool   `long:"version" description:"Print the version and exit."`
}

// ParseResult is what a process does after its flags have been parsed.
type ParseResult struct {
	Exit       bool // exit immediately with ExitStatus
	ExitStatus int
	ConfigPath string // path of the configuration file if the process continues
}

// ParseFlags parses the command line and reads the configuration file into
// config, which package inifile binds. It reports all problems of the file on
// stderr.
func ParseFlags(name string, args []string, config any, stdout, stderr io.Writer) ParseResult {
	var options Flags
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		panic(err) // invalid struct tags of Flags
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
	return options.apply(name, config, stdout, stderr)
}

func (o Flags) apply(name string, config any, stdout, stderr io.Writer) ParseResult {
	if o.Version {
		fmt.Fprintf(stdout, "%s %s\n", name, Version())
		return ParseResult{Exit: true, ExitStatus: ExitSuccess}
	}
	if o.Config == "" {
		return o.applyWithoutFile(name, config, stdout, stderr)
	}
	if err := inifile.Read(o.Config, config); err != nil {
		fmt.Fprintln(stderr, err)
		return ParseResult{Exit: true, ExitStatus: ExitBadConfig}
	}
	if o.PrintConfig {
		return printResult(inifile.Write(stdout, config))
	}
	if o.CheckConfig {
		return ParseResult{Exit: true, ExitStatus: ExitSuccess}
	}
	return ParseResult{ConfigPath: o.Config}
}

func (o Flags) applyWithoutFile(name string, config any, stdout, stderr io.Writer) ParseResult {
	if o.PrintConfig {
		return printResult(inifile.WriteDefault(stdout, config))
	}
	fmt.Fprintf(stderr, "%s: --config is required\n", name)
	return ParseResult{Exit: true, ExitStatus: ExitBadConfig}
}

func printResult(err error) ParseResult {
	if err != nil {
		return ParseResult{Exit: true, ExitStatus: ExitFailure}
	}
	return ParseResult{Exit: true, ExitStatus: ExitSuccess}
}
