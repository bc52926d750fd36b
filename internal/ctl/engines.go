package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// engineReport is what a router knows of how fast one engine works. Work times are in
// parts of the usual time of the fleet's machines.
type engineReport struct {
	Engine       string        `json:"engine"`
	Service      fleet.Service `json:"service"`
	Zone         fleet.Zone    `json:"zone,omitempty"`
	Usual        float32       `json:"usual"`
	Now          float32       `json:"now"`
	TokensPerSec float32       `json:"tokens_per_s"` // prompt tokens read; 0 if unknown
	Late         float32       `json:"late"`         // share of the streams that ended
	Age          time.Duration `json:"age_ns"`       // since it reported a work time
	Running      uint32        `json:"running"`      // requests of all routers
}

// engineList shows how fast the engines work.
type engineList struct {
	base
	Router  string `long:"router" value-name:"IP:PORT" description:"The router to ask, in place of the first one in the store's list that answers."`
	Service string `long:"service" value-name:"NAME" description:"Only engines of this service."`
}

func (c *engineList) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	router, reply, err := c.ask(ctx, s)
	if err != nil {
		return err
	}
	engines := c.selected(reply)
	if len(engines) == 0 && s.options.Output != outputJSON {
		fmt.Fprintln(s.Stdout, c.none(router, len(reply.Engines)))
		return nil
	}
	return s.show(engines, enginesTable(engines))
}

// ask returns the status of the named router, or of the first listed one that answers:
// each router knows the work times that all of them were told.
func (c *engineList) ask(ctx context.Context, s *session) (fleet.Address, *peeringpb.StatusReply, error) {
	routers, err := c.routers(ctx, s)
	if err != nil {
		return "", nil, err
	}
	err = errors.New("the store lists no routers")
	for _, router := range routers {
		var reply *peeringpb.StatusReply
		if reply, err = routerAt(router).Status(ctx, &peeringpb.StatusRequest{}); err == nil {
			return router, reply, nil
		}
		err = errors.WithMessagef(err, "asking router %s", router)
	}
	return "", nil, err
}

// routers returns the addresses of the routers to try.
func (c *engineList) routers(ctx context.Context, s *session) ([]fleet.Address, error) {
	if c.Router != "" {
		return []fleet.Address{fleet.Address(c.Router)}, nil
	}
	reports, err := routerOptions{}.list(ctx, s)
	return lo.Map(reports, func(r routerReport, _ int) fleet.Address { return r.Router }), err
}

// selected returns the engines of the wanted service, the slowest first. The usual work
// time comes first in the order: the current one rises for fractions of a second at any
// engine.
func (c *engineList) selected(reply *peeringpb.StatusReply) []engineReport {
	engines := []engineReport{}
	for _, engine := range reply.Engines {
		if c.Service == "" || c.Service == engine.Service {
			engines = append(engines, newEngineReport(engine))
		}
	}
	slices.SortFunc(engines, func(a, b engineReport) int {
		return cmp.Or(cmp.Compare(b.Usual, a.Usual), cmp.Compare(b.Now, a.Now), cmp.Compare(a.Engine, b.Engine))
	})
	return engines
}

func newEngineReport(engine *peeringpb.EnginePace) engineReport {
	return engineReport{
		Engine:       engine.Id,
		Service:      fleet.Service(engine.Service),
		Zone:         fleet.Zone(engine.Zone),
		Usual:        engine.Usual,
		Now:          engine.Now,
		TokensPerSec: engine.TokensPerS,
		Late:         engine.Late,
		Age:          time.Duration(engine.Age),
		Running:      engine.Running,
	}
}

// none says why there is nothing to show, known being the engines of all services.
func (c *engineList) none(router fleet.Address, known int) string {
	if known > 0 {
		return fmt.Sprintf("router %s knows no work time of an engine of service %s; it knows %d of other services", router, c.Service, known)
	}
	return fmt.Sprintf("router %s knows no work time of any engine: none reports one, or [engines] pace is off there", router)
}

func enginesTable(engines []engineReport) *table {
	people := &table{columns: []string{"ENGINE", "SERVICE", "ZONE", "USUAL", "NOW", "TOKENS/S", "LATE", "AGE", "RUNNING"}}
	for _, e := range engines {
		rate := lo.Ternary(e.TokensPerSec == 0, "-", fmt.Sprintf("%.0f", e.TokensPerSec))
		people.add(e.Engine, string(e.Service), orDash(string(e.Zone)), fmt.Sprintf("%.2f", e.Usual), fmt.Sprintf("%.2f", e.Now),
			rate, fmt.Sprintf("%.0f%%", 100*e.Late), e.Age.Round(time.Millisecond).String(), fmt.Sprint(e.Running))
	}
	return people
}
