package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
)

// Config is the INI file of a bluebell-router.
type Config struct {
	daemon.Common
	Callers CallersSection `section:"callers" doc:"Bounds of what callers may cost."`
}

// CallersSection bounds what callers may cost.
type CallersSection struct {
	BodyBytes    int           `key:"body_bytes" default:"4194304" min:"1024" unit:"bytes" doc:"Largest body of a call; a service may permit less."`
	Connections  int           `key:"connections" default:"20000" min:"1" doc:"Open connections of callers."`
	ReadTimeout  time.Duration `key:"read_timeout" default:"10s" min:"100ms" doc:"How long a caller may take to send a whole call."`
	WriteTimeout time.Duration `key:"write_timeout" default:"30s" min:"100ms" doc:"How long a caller may take to read a part of an answer."`
	IdleTimeout  time.Duration `key:"idle_timeout" default:"1m" min:"1s" doc:"How long a connection may stay open between calls."`
	WaitingBytes int64         `key:"waiting_bytes" default:"268435456" min:"65536" unit:"bytes" doc:"Bytes of waiting calls of all accounts together."`
}

// Validate implements inifile.Validator.
func (c *Config) Validate() []inifile.Problem {
	if c.Node.Control != "" && c.Node.Control == c.Node.Data {
		return []inifile.Problem{{Section: "node", Key: "data", Message: "must differ from control"}}
	}
	return nil
}
