package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/platform"
)

// refusedSegment is a prompt segment that routers refuse.
type refusedSegment struct {
	Key       string        `json:"key"`
	Account   fleet.Account `json:"account,omitempty"` // unknown until a router that replies has refused a request
	Segment   string        `json:"segment,omitempty"` // as callers state it; unknown likewise
	Routers   int           `json:"routers"`           // that refuse it
	Servers   []string      `json:"servers"`           // hashes of the incarnations that crashed
	Ambiguous bool          `json:"ambiguous"`         // other segments may be the cause as well
	// LastRefused is the time since a request was last refused, negative if none was.
	LastRefused time.Duration `json:"last_refused_ns"`
}

// segmentList shows the refused prompt segments.
type segmentList struct {
	commandBase
	routerOptions
}

func (c *segmentList) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	reports, err := c.reports(ctx, s)
	if err != nil {
		return err
	}
	segments := mergeSegments(reports)
	rows := &table{columns: []string{"KEY", "ACCOUNT", "SEGMENT", "ROUTERS", "CRASHES", "AMBIGUOUS", "REFUSED"}}
	for _, segment := range segments {
		rows.add(segment.Key, orDash(string(segment.Account)), orDash(segment.Segment), fmt.Sprint(segment.Routers),
			strings.Join(segment.Servers, ","), fmt.Sprint(segment.Ambiguous), segment.lastRefused())
	}
	if err := s.show(segments, rows); err != nil {
		return err
	}
	return unreachableError(reports)
}

func (r *refusedSegment) lastRefused() string {
	if r.LastRefused < 0 {
		return "never"
	}
	return r.LastRefused.Round(time.Second).String() + " ago"
}

// mergeSegments returns what the routers refuse, in the order of the keys.
func mergeSegments(reports []routerReport) []*refusedSegment {
	merged := make(map[uint64]*refusedSegment)
	for _, report := range reports {
		for _, segment := range report.segments {
			known := merged[segment.Segment]
			if known == nil {
				known = &refusedSegment{Key: fmt.Sprintf("%016x", segment.Segment), LastRefused: -1}
				merged[segment.Segment] = known
			}
			known.add(segment)
		}
	}
	segments := lo.Values(merged)
	slices.SortFunc(segments, func(a, b *refusedSegment) int { return cmp.Compare(a.Key, b.Key) })
	return segments
}

// add adds what a router reports.
func (r *refusedSegment) add(segment *peeringpb.RefusedSegment) {
	r.Routers++
	r.Account = cmp.Or(r.Account, fleet.Account(segment.Account))
	r.Segment = cmp.Or(r.Segment, segment.Id)
	r.Ambiguous = r.Ambiguous || segment.Ambiguous
	r.Servers = lo.Union(r.Servers, lo.Map(segment.Server, func(server uint32, _ int) string { return fmt.Sprintf("%08x", server) }))
	if age := time.Duration(segment.RefusedAge); age >= 0 && (r.LastRefused < 0 || age < r.LastRefused) {
		r.LastRefused = age
	}
}

// segmentClear lets requests with a segment be sent again.
type segmentClear struct {
	commandBase
	operatorOptions
	routerOptions
	Reason     string `long:"reason" description:"Why, for the audit trail."`
	Positional struct {
		Key string `positional-arg-name:"KEY" required:"true" description:"The segment's key, as segments shows it."`
	} `positional-args:"true"`
}

// run records the order, and sends it to the first router that replies, which tells the others.
func (c *segmentClear) run(s *session) error {
	key, err := strconv.ParseUint(c.Positional.Key, 16, 64)
	if err != nil {
		return usageErrorf("%q is no segment's key", c.Positional.Key)
	}
	ctx, cancel := s.context()
	defer cancel()
	store, err := s.store()
	if err != nil {
		return err
	}
	routers, err := c.list(ctx, s)
	if err != nil {
		return err
	}
	if len(routers) == 0 {
		return errors.New("there is no router")
	}
	order := platform.Order{Operator: c.operator(), Reason: c.Reason, Action: "clear-segment " + c.Positional.Key, Router: routers[0].Router}
	if err := store.Record(ctx, order); err != nil {
		return errors.WithMessage(err, "the order was not sent, since it could not be recorded")
	}
	return c.send(ctx, s, routers, &peeringpb.ClearSegmentRequest{Segment: key, Operator: order.Operator, Reason: c.Reason})
}

// send sends the order to the routers in turn until one replies.
func (c *segmentClear) send(ctx context.Context, s *session, routers []routerReport, request *peeringpb.ClearSegmentRequest) error {
	var err error
	for _, router := range routers {
		var reply *peeringpb.ClearSegmentReply
		if reply, err = routerAt(router.Router).ClearSegment(ctx, request); err == nil {
			fmt.Fprintf(s.Stdout, "%s\n", lo.Ternary(reply.Known, "requests with the segment are sent again", "no crash counted against the segment at "+string(router.Router)))
			return nil
		}
	}
	cause := errors.WithMessage(err, "the order is recorded, but it is not known whether a router carries it out")
	return &exitError{status: ExitUnknown, cause: cause}
}
