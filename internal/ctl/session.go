package ctl

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// globalOptions holds the flags of all commands.
type globalOptions struct {
	Config   string        `long:"config" value-name:"FILE" env:"BLUEBELL_CONFIG" description:"INI file with [platform] address and [control] token."`
	Platform string        `long:"platform" value-name:"IP:PORT" env:"BLUEBELL_PLATFORM" description:"Address of the platform's object API; goes before the file."`
	Store    string        `long:"store" value-name:"IP:PORT" env:"BLUEBELL_STORE" description:"Address of the platform's store; for router commands, engines and account uses."`
	Token    string        `long:"token" env:"BLUEBELL_TOKEN" description:"Secret that the nodes share; goes before the file."`
	Output   string        `long:"output" choice:"table" choice:"json" default:"table" description:"Tables for people, JSON for scripts."`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"Give up after this time."`
}

// fileConfig is the INI file of --config.
type fileConfig struct {
	Platform daemon.PlatformSection `section:"platform" doc:"The platform's object API."`
	Control  daemon.ControlSection  `section:"control" doc:"Control messages between the nodes."`
}

// session is the execution of one command.
type session struct {
	*App
	options globalOptions
}

// context returns the context of a command.
func (s *session) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.options.Timeout)
}

// endpoints holds the platform's address and the token of the nodes.
type endpoints struct {
	platform fleet.Address
	token    string
}

func (s *session) endpoints() (endpoints, error) {
	found := endpoints{platform: fleet.Address(s.options.Platform), token: s.options.Token}
	if s.options.Config == "" {
		return found, nil
	}
	var file fileConfig
	if err := inifile.Read(s.options.Config, &file); err != nil {
		return endpoints{}, &exitError{status: ExitUsage, cause: err}
	}
	if found.platform == "" {
		found.platform = file.Platform.Address
	}
	if found.token == "" {
		found.token = file.Control.Token
	}
	return found, nil
}

func (s *session) platform() (platform.API, error) {
	found, err := s.endpoints()
	if err != nil {
		return nil, err
	}
	if found.platform == "" {
		return nil, usageErrorf("specify the platform's address with --platform, --config or BLUEBELL_PLATFORM")
	}
	return s.OpenPlatform(found.platform), nil
}

func (s *session) nodes() (Nodes, error) {
	found, err := s.endpoints()
	if err != nil {
		return nil, err
	}
	if found.token == "" {
		return nil, usageErrorf("specify the nodes' secret with --token, --config or BLUEBELL_TOKEN")
	}
	return s.OpenNodes(found.token), nil
}

func (s *session) editor() (*settings.Editor, error) {
	api, err := s.platform()
	if err != nil {
		return nil, err
	}
	editor := settings.NewEditor(api, s.Retry)
	if s.PrepareEditor != nil {
		s.PrepareEditor(editor)
	}
	return editor, nil
}

// readSettings reads the current settings.
func (s *session) readSettings(ctx context.Context) (*settings.Editor, settings.Snapshot, error) {
	editor, err := s.editor()
	if err != nil {
		return nil, settings.Snapshot{}, err
	}
	snapshot, err := editor.Reader().Read(ctx, 0)
	return editor, snapshot, errors.WithMessage(err, "reading the settings")
}
