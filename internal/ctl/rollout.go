package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// rolloutPollInterval is the time between two queries of the nodes.
const rolloutPollInterval = 500 * time.Millisecond

// nodeOptions holds the flag that names nodes.
type nodeOptions struct {
	Nodes []string `long:"node" value-name:"IP:PORT" description:"Ask this node (control address) instead of those in the platform's list; may be repeated."`
}

// rollout waits until a revision is in force at all nodes.
type rollout struct {
	commandBase
	nodeOptions
	Revision uint64 `long:"revision" value-name:"N" description:"Revision to wait for; without it the last accepted one."`
}

// rolloutJSON is the JSON output of rollout.
type rolloutJSON struct {
	Revision uint64       `json:"revision"`
	InForce  int          `json:"in_force"` // number of nodes at this revision or a later one
	Nodes    []nodeReport `json:"nodes"`
}

func (c *rollout) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	nodes, err := s.nodes()
	if err != nil {
		return err
	}
	revision, err := c.targetRevision(ctx, s)
	if err != nil {
		return err
	}
	reports, err := s.listNodes(ctx, c.Nodes)
	if err != nil {
		return err
	}
	reports = s.awaitRevision(ctx, nodes, reports, revision)
	return s.showRollout(revision, reports)
}

func (c *rollout) targetRevision(ctx context.Context, s *session) (uint64, error) {
	if c.Revision != 0 {
		return c.Revision, nil
	}
	editor, err := s.editor()
	if err != nil {
		return 0, err
	}
	head, _, err := editor.Reader().ReadHead(ctx, 0)
	if err != nil {
		return 0, errors.WithMessage(err, "reading the accepted revision; name one with --revision")
	}
	return head.Revision, nil
}

// awaitRevision polls the nodes that lack the revision until all have it or the
// context ends.
func (s *session) awaitRevision(ctx context.Context, nodes Nodes, reports []nodeReport, revision uint64) []nodeReport {
	reports = queryNodes(ctx, nodes, reports)
	for countInForce(reports, revision) < len(reports) {
		if s.Sleep(ctx, rolloutPollInterval) != nil {
			return reports
		}
		outdated := lo.Filter(reports, func(r nodeReport, _ int) bool { return r.Revision < revision })
		updates := lo.KeyBy(queryNodes(ctx, nodes, outdated), func(r nodeReport) any { return r.Control })
		for i, report := range reports {
			if updated, ok := updates[report.Control]; ok {
				reports[i] = updated
			}
		}
	}
	return reports
}

func countInForce(reports []nodeReport, revision uint64) int {
	return lo.CountBy(reports, func(r nodeReport) bool { return r.Error == "" && r.Revision >= revision })
}

func (s *session) showRollout(revision uint64, reports []nodeReport) error {
	inForce := countInForce(reports, revision)
	rows := &table{columns: []string{"NODE", "VM", "ROLE", "ZONE", "REVISION", "ERROR"}}
	for _, r := range reports {
		rows.add(string(r.Control), orDash(r.VM), orDash(string(r.Role)), orDash(string(r.Zone)), fmt.Sprint(r.Revision), orDash(r.Error))
	}
	if s.options.Output != outputJSON {
		fmt.Fprintf(s.Stdout, "revision %d is in force at %d of %d nodes\n", revision, inForce, len(reports))
	}
	if err := s.show(rolloutJSON{Revision: revision, InForce: inForce, Nodes: reports}, rows); err != nil {
		return err
	}
	if inForce < len(reports) {
		return &exitError{status: ExitIncomplete, cause: errors.Errorf("revision %d is not in force at %d nodes", revision, len(reports)-inForce)}
	}
	return nil
}
