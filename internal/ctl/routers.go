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
	"github.com/bluebellchute/bluebellchute/internal/peering"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/platform"
)

// routerCallTimeout bounds one call to a router, since the store still lists
// stopped routers for a while.
const routerCallTimeout = 2 * time.Second

// store returns the operators' interface of the platform's store.
func (s *session) store() (platform.Operators, error) {
	if s.options.Store == "" {
		return platform.Operators{}, usageErrorf("specify the store's address with --store or BLUEBELL_STORE")
	}
	logger := logrus.New()
	logger.SetOutput(s.Stderr)
	return platform.Operators{Store: platform.NewStore(fleet.Address(s.options.Store)), Logger: logger}, nil
}

// routerTransport is the transport of all calls to routers. A reply that breaks off must not
// pass for that of a router without requests.
var routerTransport = peering.BoundedTransport(http.DefaultTransport.(*http.Transport).Clone())

// routerAt returns the operators' interface of a router.
func routerAt(address fleet.Address) peeringpb.Operation {
	client := &http.Client{Timeout: routerCallTimeout, Transport: routerTransport}
	return peeringpb.NewOperationProtobufClient("http://"+string(address), client)
}

// routerReport is one router with the status that it reports.
type routerReport struct {
	Router       fleet.Address `json:"router"`
	VM           string        `json:"vm,omitempty"`
	Zone         fleet.Zone    `json:"zone,omitempty"`
	Version      uint64        `json:"version"`
	Age          time.Duration `json:"config_age_ns"` // time since the version was confirmed
	Backends     uint32        `json:"backends"`
	Running      uint32        `json:"running"`
	WatchesStore bool          `json:"follows"`
	NotReady     string        `json:"not_ready,omitempty"`
	Error        string        `json:"error,omitempty"` // why the router doesn't reply

	Evacuated []fleet.Zone `json:"evacuated,omitempty"` // zones to which the router sends nothing

	usages   []*peeringpb.AccountUse
	segments []*peeringpb.RefusedSegment
}

// routerOptions holds the flag that names routers.
type routerOptions struct {
	Routers []string `long:"router" value-name:"IP:PORT" description:"A router, in place of those that the store lists; may be repeated."`
}

// reports queries the named routers, or else those that the store lists.
func (o routerOptions) reports(ctx context.Context, s *session) ([]routerReport, error) {
	reports, err := o.list(ctx, s)
	if err != nil {
		return nil, err
	}
	queryRouters(ctx, reports)
	return reports, nil
}

// list returns the named routers, or else those that the store lists, without
// querying them.
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
		return nil, errors.WithMessage(err, "listing the routers; during an outage of the store, --router names them")
	}
	for _, entry := range entries {
		reports = append(reports, routerReport{Router: entry.Address, VM: entry.VM, Zone: entry.Zone})
	}
	return reports, nil
}

func queryRouters(ctx context.Context, reports []routerReport) {
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	for i := range reports {
		group.Go(func() error {
			reports[i].query(ctx)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

func (r *routerReport) query(ctx context.Context) {
	reply, err := routerAt(r.Router).Status(ctx, &peeringpb.StatusRequest{})
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.VM, r.Zone = reply.Vm, fleet.Zone(reply.Zone)
	r.Version, r.Age = reply.Version, time.Duration(reply.ConfigAge)
	r.Backends, r.Running, r.WatchesStore, r.NotReady = reply.Backends, reply.Running, reply.Follows, reply.NotReady
	r.Evacuated = lo.Map(reply.Evacuated, func(zone string, _ int) fleet.Zone { return fleet.Zone(zone) })
	r.usages, r.segments = reply.Uses, reply.RefusedSegments
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

// unreachableError returns an error if some routers didn't reply.
func unreachableError(reports []routerReport) error {
	unanswered := lo.CountBy(reports, func(r routerReport) bool { return r.Error != "" })
	return incompleteError(unanswered, len(reports), "routers")
}

// routerList shows the routers.
type routerList struct {
	commandBase
	routerOptions
}

func (c *routerList) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	reports, err := c.reports(ctx, s)
	if err != nil {
		return err
	}
	rows := &table{columns: []string{"ROUTER", "VM", "ZONE", "VERSION", "AGE", "BACKENDS", "RUNNING", "FOLLOWS", "STATE"}}
	for _, r := range reports {
		rows.add(string(r.Router), orDash(r.VM), orDash(string(r.Zone)), fmt.Sprint(r.Version),
			r.Age.Round(time.Millisecond).String(), fmt.Sprint(r.Backends), fmt.Sprint(r.Running), fmt.Sprint(r.WatchesStore), r.state())
	}
	if err := s.show(reports, rows); err != nil {
		return err
	}
	return unreachableError(reports)
}

// accountUsage is what an account recently requested and was granted at all
// routers.
type accountUsage struct {
	Account   fleet.Account `json:"account"`
	Requested float64       `json:"asked"` // tokens; both counts decay over two seconds
	Granted   float64       `json:"got"`
}

// accountUsesCommand shows what accounts recently requested and were granted.
type accountUsesCommand struct {
	commandBase
	routerOptions
}

func (c *accountUsesCommand) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	reports, err := c.reports(ctx, s)
	if err != nil {
		return err
	}
	usages := sumUsages(reports)
	rows := &table{columns: []string{"ACCOUNT", "ASKED", "GOT"}}
	for _, use := range usages {
		rows.add(string(use.Account), fmt.Sprintf("%.0f", use.Requested), fmt.Sprintf("%.0f", use.Granted))
	}
	if err := s.show(usages, rows); err != nil {
		return err
	}
	return unreachableError(reports)
}

// sumUsages returns the accounts' usage over all routers, in descending order of
// requested tokens.
func sumUsages(reports []routerReport) []accountUsage {
	sums := make(map[string]*accountUsage)
	for _, report := range reports {
		for _, use := range report.usages {
			sum := sums[use.Account]
			if sum == nil {
				sum = &accountUsage{Account: fleet.Account(use.Account)}
				sums[use.Account] = sum
			}
			sum.Requested += float64(use.Asked)
			sum.Granted += float64(use.Got)
		}
	}
	usages := make([]accountUsage, 0, len(sums))
	for _, sum := range sums {
		usages = append(usages, *sum)
	}
	slices.SortFunc(usages, func(a, b accountUsage) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Account, b.Account))
	})
	return usages
}

// routerDrain drains a router, so that new callers go to the other routers.
type routerDrain struct {
	commandBase
	operatorOptions
	Reason     string `long:"reason" description:"Why, for the audit trail."`
	Undo       bool   `long:"undo" description:"Take new callers again."`
	Positional struct {
		Router string `positional-arg-name:"IP:PORT" required:"true" description:"The router's port for other routers and operators."`
	} `positional-args:"true"`
}

// run records the order before it sends it, so that no order is carried out
// without an entry in the audit trail.
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
		return errors.WithMessage(err, "the order was not sent, since it could not be recorded")
	}
	reply, err := routerAt(order.Router).Drain(ctx, &peeringpb.DrainRequest{Undo: c.Undo, Operator: order.Operator, Reason: c.Reason})
	if err != nil {
		cause := errors.WithMessage(err, "the order is recorded, but it is not known whether the router carries it out")
		return &exitError{status: ExitUnknown, cause: cause}
	}
	fmt.Fprintf(s.Stdout, "%s %s; %d requests in progress\n", order.Router,
		lo.Ternary(c.Undo, "takes new callers again", "leaves new callers to others"), reply.Running)
	return nil
}

// routerOrders shows the orders in the audit trail.
type routerOrders struct {
	commandBase
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
	rows := &table{columns: []string{"TIME", "OPERATOR", "ACTION", "ROUTER", "REASON"}}
	for _, order := range orders {
		rows.add(order.Time.Format(time.RFC3339), order.Operator, order.Action, string(order.Router), singleLine(order.Reason))
	}
	return s.show(orders, rows)
}
