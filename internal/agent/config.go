package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
)

// Config is the INI file of a bluebell-agent.
type Config struct {
	daemon.Common
	Backend BackendSection `section:"backend" doc:"The backend server beside this agent."`
	Limits  LimitsSection  `section:"limits" doc:"Bounds of this agent's memory."`
}

// BackendSection tells which backend server the agent owns.
type BackendSection struct {
	Service fleet.Service `key:"service" required:"true" doc:"Service that the backend server provides, as the settings tree names it."`
	Address fleet.Address `key:"address" required:"true" doc:"IP number and port of the backend server."`
}

// LimitsSection bounds the memory of the agent.
type LimitsSection struct {
	RequestBytes int           `key:"request_bytes" default:"16777216" min:"1024" unit:"bytes" doc:"Largest request on the data port."`
	HeldBytes    int64         `key:"held_bytes" default:"50331648" min:"65536" unit:"bytes" doc:"Finished answers kept for routers; beyond it no new work is taken."`
	HeldAnswers  int           `key:"held_answers" default:"4096" min:"1" doc:"Number of finished answers kept for routers."`
	EndedIDs     int           `key:"ended_ids" default:"200000" min:"1000" doc:"Request ids remembered after their end."`
	EndedLife    time.Duration `key:"ended_life" default:"30m" min:"1m" doc:"How long an ended request id is remembered; longer than the longest deadline."`
	Keys         int           `key:"keys" default:"50000" min:"100" doc:"Idempotency keys guarded."`
	Ahead        int           `key:"ahead" default:"32" min:"0" doc:"Most grants beyond the free slots."`
}

// limits returns the bounds as the world takes them.
func (s LimitsSection) limits() Limits {
	return Limits{
		MaxHeldBytes:   s.HeldBytes,
		MaxHeldAnswers: s.HeldAnswers,
		MaxEnded:       s.EndedIDs,
		MaxKeys:        s.Keys,
		EndedLife:      s.EndedLife,
		MaxAhead:       s.Ahead,
	}
}

// Validate implements inifile.Validator.
func (c *Config) Validate() []inifile.Problem {
	var problems []inifile.Problem
	if c.Node.Control == c.Node.Data {
		problems = append(problems, inifile.Problem{Section: "node", Key: "data", Message: "must differ from control"})
	}
	if c.Backend.Address == c.Node.Data || c.Backend.Address == c.Node.Control {
		problems = append(problems, inifile.Problem{Section: "backend", Key: "address", Message: "must differ from the agent's own ports"})
	}
	return problems
}
