package ctl

import (
	"fmt"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// drain stops the backend server of one agent from accepting new work.
type drain struct {
	commandBase
	operatorOptions
	Reason     string `long:"reason" description:"Why, for the agent's log."`
	Undo       bool   `long:"undo" description:"Take new work again."`
	Positional struct {
		Node string `positional-arg-name:"IP:PORT" required:"true" description:"Control address of the agent."`
	} `positional-args:"true"`
}

// drainJSON is the JSON output of drain.
type drainJSON struct {
	Control fleet.Address `json:"control"`
	Leaving bool          `json:"leaving"`
	Running uint32        `json:"running"` // requests in progress; they run to completion
}

func (c *drain) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	nodes, err := s.nodes()
	if err != nil {
		return err
	}
	address := fleet.Address(c.Positional.Node)
	reply, err := nodes.Drain(ctx, address, &rpc.DrainRequest{
		Undo:     c.Undo,
		Operator: c.operator(),
		Reason:   c.Reason,
	})
	if err != nil {
		return err
	}
	result := drainJSON{Control: address, Leaving: !c.Undo, Running: reply.GetRunning()}
	if s.options.Output == outputJSON {
		return s.show(result, nil)
	}
	state := "takes no new work"
	if c.Undo {
		state = "takes new work again"
	}
	fmt.Fprintf(s.Stdout, "%s %s; %d requests in progress\n", address, state, result.Running)
	return nil
}
