package ctl

import (
	"fmt"

	"github.com/samber/lo"
)

// status shows the nodes of the fleet.
type status struct {
	commandBase
	nodeOptions
}

func (c *status) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	nodes, err := s.nodes()
	if err != nil {
		return err
	}
	reports, err := s.listNodes(ctx, c.Nodes)
	if err != nil {
		return err
	}
	reports = queryNodes(ctx, nodes, reports)
	rows := &table{columns: []string{"NODE", "VM", "ROLE", "ZONE", "SERVICE", "SLOTS", "RUNNING", "WAITING", "REVISION", "STATE"}}
	for _, r := range reports {
		rows.add(string(r.Control), orDash(r.VM), orDash(string(r.Role)), orDash(string(r.Zone)), orDash(string(r.Service)),
			fmt.Sprint(r.Slots), fmt.Sprint(r.Running), fmt.Sprint(r.Waiting), fmt.Sprint(r.Revision), r.state())
	}
	if err := s.show(reports, rows); err != nil {
		return err
	}
	unanswered := lo.CountBy(reports, func(r nodeReport) bool { return r.Error != "" })
	return incompleteError(unanswered, len(reports), "nodes")
}

func (r nodeReport) state() string {
	switch {
	case r.Error != "":
		return r.Error
	case r.Leaving:
		return "leaving"
	default:
		return "live"
	}
}
