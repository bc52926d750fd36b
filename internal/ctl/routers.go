package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/platform"
)

// routerCallTimeout bounds one call to a router: entries of routers that are
// gone stay in the store for a while.
const routerCallTimeout = 2 * time.Second

// store returns the operators' part of the platform's store.
func (s *session) store() (platform.Operators, error) {
	if s.options.Store == "" {
		return platform.Operators{}, usageErrorf("name the store with --store or BLUEBELL_STORE")
	}
	logger := logrus.New()
	logger.SetOutput(s.Stderr)
	return platform.Operators{Store: platform.NewStore(fleet.Address(s.options.Store)), Logger: logger}, nil
}

// routerAt returns the operators' interface of a router.
func routerAt(address fleet.Address) peeringpb.Operation {
	client := &http.Client{Timeout: routerCallTimeout}
	return peeringpb.NewOperationProtobufClient("http://"+string(address), client)
}

// routerReport is one router with what it says of itself.
type routerReport struct {
	Router   fleet.Address `json:"router"`
	VM       string        `json:"vm,omitempty"`
	Zone     fleet.Zone    `json:"zone,omitempty"`
	Version  uint64        `json:"version"`
	Age      time.Duration `json:"config_age_ns"` // since the version was confirmed
	Backends uint32        `json:"backends"`
	Running  uint32        `json:"running"`
	Follows  bool          `json:"follows"`
	NotReady string        `json:"not_ready,omitempty"`
	Error    string        `json:"error,omitempty"` // why it does not answer

	Evacuated []fleet.Zone `json:"evacuated,omitempty"` // zones to which it sends nothing

	uses []*peeringpb.AccountUse
}

// routerOptions name the routers to ask.
type routerOptions struct {
	Routers []string `long:"router" value-name:"IP:PORT" description:"A router, in place of those that the store lists; may be repeated."`
}

// reports asks the routers that are named or that the store lists.
func (o routerOptions) reports(ctx context.Context, s *session) ([]routerReport, error) {
	reports, err := o.list(ctx, s)
	if err != nil {
		return nil, err
	}
	askRouters(ctx, reports)
	return reports, nil
}

// list returns the routers that are named or that the store lists, not yet asked.
func (o routerOptions) list(ctx context.Context, s *session) ([]routerReport, error) {
	var reports []routerReport
	for _, address := range o.Routers {
		reports = append(reports, routerReport{Router: fleet.Address(address)})
	}
	if len(reports) > 0 {
		return reports, nil
	}
	store, err := s.store()
	if err != nil {
		return nil, err
	}
	entries, err := store.Routers(ctx)
	if err != nil {
		return nil, errors.WithMessage(err, "listing the routers; --router names them in an outage of the store")
	}
	for _, entry := range entries {
		reports = append(reports, routerReport{Router: entry.Address, VM: entry.VM, Zone: entry.Zone})
	}
	return reports, nil
}

func askRouters(ctx context.Context, reports []routerReport) {
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for place := range reports {
		group.Go(func() error {
			reports[place].ask(ctx)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

func (r *routerReport) ask(ctx context.Context) {
	reply, err := routerAt(r.Router).Status(ctx, &peeringpb.StatusRequest{})
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.VM, r.Zone = reply.Vm, fleet.Zone(reply.Zone)
	r.Version, r.Age = reply.Version, time.Duration(reply.ConfigAge)
	r.Backends, r.Running, r.Follows, r.NotReady = reply.Backends, reply.Running, reply.Follows, reply.NotReady
	r.Evacuated = lo.Map(reply.Evacuated, func(zone string, _ int) fleet.Zone { return fleet.Zone(zone) })
	r.uses = reply.Uses
}

func (r *routerReport) state() string {
	switch {
	case r.Error != "":
		return r.Error
	case r.NotReady != "":
		return r.NotReady
	}
	return "ready"
}

// silentRouters returns an error when some routers did not answer.
func silentRouters(reports []routerReport) error {
	silent := lo.CountBy(reports, func(r routerReport) bool { return r.Error != "" })
	return incomplete(silent, len(reports), "routers")
}

// routerList shows the routers.
type routerList struct {
	base
	routerOptions
}

func (c *routerList) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	reports, err := c.reports(ctx, s)
	if err != nil {
		return err
	}
	people := &table{columns: []string{"ROUTER", "VM", "ZONE", "VERSION", "AGE", "BACKENDS", "RUNNING", "FOLLOWS", "STATE"}}
	for _, r := range reports {
		people.add(string(r.Router), orDash(r.VM), orDash(string(r.Zone)), fmt.Sprint(r.Version),
			r.Age.Round(time.Millisecond).String(), fmt.Sprint(r.Backends), fmt.Sprint(r.Running), fmt.Sprint(r.Follows), r.state())
	}
	if err := s.show(reports, people); err != nil {
		return err
	}
	return silentRouters(reports)
}

// accountUse is what an account asked and got of late at all routers.
type accountUse struct {
	Account fleet.Account `json:"account"`
	Asked   float64       `json:"asked"` // tokens; sums that decay over two seconds
	Got     float64       `json:"got"`
}

// accountUses shows what accounts ask and get.
type accountUses struct {
	base
	routerOptions
}

func (c *accountUses) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	reports, err := c.reports(ctx, s)
	if err != nil {
		return err
	}
	uses := sumUses(reports)
	people := &table{columns: []string{"ACCOUNT", "ASKED", "GOT"}}
	for _, use := range uses {
		people.add(string(use.Account), fmt.Sprintf("%.0f", use.Asked), fmt.Sprintf("%.0f", use.Got))
	}
	if err := s.show(uses, people); err != nil {
		return err
	}
	return silentRouters(reports)
}

// sumUses returns the accounts' uses over all routers, the greatest first.
func sumUses(reports []routerReport) []accountUse {
	sums := make(map[string]*accountUse)
	for _, report := range reports {
		for _, use := range report.uses {
			sum := sums[use.Account]
			if sum == nil {
				sum = &accountUse{Account: fleet.Account(use.Account)}
				sums[use.Account] = sum
			}
			sum.Asked += float64(use.Asked)
			sum.Got += float64(use.Got)
		}
	}
	uses := make([]accountUse, 0, len(sums))
	for _, sum := range sums {
		uses = append(uses, *sum)
	}
	slices.SortFunc(uses, func(a, b accountUse) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Account, b.Account))
	})
	return uses
}

// routerDrain lets a router leave new callers to the others.
type routerDrain struct {
	base
	who
	Reason     string `long:"reason" description:"Why, for the audit trail."`
	Undo       bool   `long:"undo" description:"Take new callers again."`
	Positional struct {
		Router string `positional-arg-name:"IP:PORT" required:"true" description:"The router's port for other routers and operators."`
	} `positional-args:"true"`
}

// run records the order before it gives it, so that none is carried out that
// the audit trail lacks.
func (c *routerDrain) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	store, err := s.store()
	if err != nil {
		return err
	}
	order := platform.Order{
		Operator: c.operator(),
		Reason:   c.Reason,
		Action:   lo.Ternary(c.Undo, "undrain", "drain"),
		Router:   fleet.Address(c.Positional.Router),
	}
	if err := store.Record(ctx, order); err != nil {
		return errors.WithMessage(err, "the order was not given, as it could not be recorded")
	}
	reply, err := routerAt(order.Router).Drain(ctx, &peeringpb.DrainRequest{Undo: c.Undo, Operator: order.Operator, Reason: c.Reason})
	if err != nil {
		cause := errors.WithMessage(err, "the order is recorded, but whether the router carries it out is not known")
		return &exitError{status: ExitUnknown, cause: cause}
	}
	fmt.Fprintf(s.Stdout, "%s %s; %d requests in progress\n", order.Router,
		lo.Ternary(c.Undo, "takes new callers again", "leaves new callers to others"), reply.Running)
	return nil
}

// routerOrders shows the operators' orders.
type routerOrders struct {
	base
	Limit int `long:"limit" default:"20" description:"Orders to show; 0 shows all that are kept."`
}

func (c *routerOrders) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	store, err := s.store()
	if err != nil {
		return err
	}
	orders, err := store.Orders(ctx)
	if err != nil {
		return err
	}
	if c.Limit > 0 {
		orders = lo.Slice(orders, 0, c.Limit)
	}
	people := &table{columns: []string{"TIME", "OPERATOR", "ACTION", "ROUTER", "REASON"}}
	for _, order := range orders {
		people.add(order.Time.Format(time.RFC3339), order.Operator, order.Action, string(order.Router), oneLine(order.Reason))
	}
	return s.show(orders, people)
}
