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

// engineReport holds the work times of one engine as a router knows them. Work times
// are relative to the usual time of the fleet's machines.
type engineReport struct {
	Engine       string        `json:"engine"`
	Service      fleet.Service `json:"service"`
	Zone         fleet.Zone    `json:"zone,omitempty"`
	Usual        float32       `json:"usual"`
	Now          float32       `json:"now"`
	TokensPerSec float32       `json:"tokens_per_s"` // prompt tokens processed; 0 if unknown
	Late         float32       `json:"late"`         // share of late streams among those that ended
	Age          time.Duration `json:"age_ns"`       // time since it last reported a work time
	Running      uint32        `json:"running"`      // requests from all routers
}

// engineList shows the work times of the engines.
type engineList struct {
	commandBase
	Router  string `long:"router" value-name:"IP:PORT" description:"The router to ask, in place of the first one in the store's list that answers."`
	Service string `long:"service" value-name:"NAME" description:"Only engines of this service."`
}

func (c *engineList) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	router, reply, err := c.queryRouter(ctx, s)
	if err != nil {
		return err
	}
	engines := c.selectEngines(reply)
	if len(engines) == 0 && s.options.Output != outputJSON {
		fmt.Fprintln(s.Stdout, c.explainEmpty(router, len(reply.Engines)))
		return nil
	}
	return s.show(engines, enginesTable(engines))
}

// queryRouter returns the status of the named router, or of the first router in the
// store's list that replies. Any router will do, since all routers share the work times.
func (c *engineList) queryRouter(ctx context.Context, s *session) (fleet.Address, *peeringpb.StatusReply, error) {
	routers, err := c.candidateRouters(ctx, s)
	if err != nil {
		return "", nil, err
	}
	err = errors.New("the store lists no routers")
	for _, router := range routers {
		var reply *peeringpb.StatusReply
		if reply, err = routerAt(router).Status(ctx, &peeringpb.StatusRequest{}); err == nil {
			return router, reply, nil
		}
		err = errors.WithMessagef(err, "querying router %s", router)
	}
	return "", nil, err
}

// candidateRouters returns the addresses of the routers to query, in order.
func (c *engineList) candidateRouters(ctx context.Context, s *session) ([]fleet.Address, error) {
	if c.Router != "" {
		return []fleet.Address{fleet.Address(c.Router)}, nil
	}
	reports, err := routerOptions{}.list(ctx, s)
	return lo.Map(reports, func(r routerReport, _ int) fleet.Address { return r.Router }), err
}

// selectEngines returns the engines of the selected service, slowest first. It sorts by
// the usual work time, since the current one rises for fractions of a second at any engine.
func (c *engineList) selectEngines(reply *peeringpb.StatusReply) []engineReport {
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

// explainEmpty explains an empty list. total counts the engines of all services.
func (c *engineList) explainEmpty(router fleet.Address, total int) string {
	if total > 0 {
		return fmt.Sprintf("router %s has no work time of an engine of service %s; it has %d of other services", router, c.Service, total)
	}
	return fmt.Sprintf("router %s has no work time of any engine: none reports one, or [engines] pace is off there", router)
}

func enginesTable(engines []engineReport) *table {
	rows := &table{columns: []string{"ENGINE", "SERVICE", "ZONE", "USUAL", "NOW", "TOKENS/S", "LATE", "AGE", "RUNNING"}}
	for _, e := range engines {
		rate := lo.Ternary(e.TokensPerSec == 0, "-", fmt.Sprintf("%.0f", e.TokensPerSec))
		rows.add(e.Engine, string(e.Service), orDash(string(e.Zone)), fmt.Sprintf("%.2f", e.Usual), fmt.Sprintf("%.2f", e.Now),
			rate, fmt.Sprintf("%.0f%%", 100*e.Late), e.Age.Round(time.Millisecond).String(), fmt.Sprint(e.Running))
	}
	return rows
}
