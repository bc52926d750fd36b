package gate

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// RefusedSegment is a prompt segment with which requests are refused, as operators see it.
type RefusedSegment struct {
	crash.Conviction
	Account fleet.Account // "" if this router has refused no request with it
	ID      string        // as callers state it, "" likewise
}

// refusedSegments tells operators which segments are refused: by log records of the changes, by
// metrics and by a list. Its methods may be called concurrently.
type refusedSegments struct {
	logger   logrus.FieldLogger
	table    *crash.SegmentTable
	segments *prometheus.GaugeVec

	mu    sync.Mutex
	known map[crash.Segment]*RefusedSegment // as last observed
}

// The states of segments, as the metric's label names them.
const (
	segmentSuspected = "suspected"
	segmentRefused   = "refused"
)

func newRefusedSegments(logger logrus.FieldLogger, table *crash.SegmentTable, registerer prometheus.Registerer) *refusedSegments {
	r := &refusedSegments{logger: logger, table: table, known: make(map[crash.Segment]*RefusedSegment)}
	r.segments = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bluebell_gate_prompt_segments",
		Help: "Prompt segments of requests that ran on backend servers which crashed: suspected, or refused as the cause.",
	}, []string{"state"})
	registerer.MustRegister(r.segments)
	return r
}

// maxLoggedServers bounds the crashed servers that a record names.
const maxLoggedServers = 8

// observe logs what has changed since the last call, and updates the metrics.
func (r *refusedSegments) observe(now boottime.Instant) {
	r.table.Update(now)
	suspected, refused := r.table.Counts()
	r.segments.WithLabelValues(segmentSuspected).Set(float64(suspected))
	r.segments.WithLabelValues(segmentRefused).Set(float64(refused))
	r.mu.Lock()
	defer r.mu.Unlock()
	if refused+len(r.known) == 0 {
		return
	}
	current := lo.SliceToMap(r.table.Convictions(), func(c crash.Conviction) (crash.Segment, crash.Conviction) { return c.Segment, c })
	for segment := range r.known {
		if _, refused := current[segment]; !refused {
			delete(r.known, segment)
			event.GateSegmentAllowed.Log(r.logger, logrus.Fields{"segment_key": segmentName(segment)})
		}
	}
	for segment, conviction := range current {
		if known := r.known[segment]; known != nil {
			known.Conviction = conviction
			continue
		}
		r.known[segment] = &RefusedSegment{Conviction: conviction}
		event.GateSegmentRefused.Log(r.logger, logrus.Fields{
			"segment_key": segmentName(segment),
			"servers":     serverNames(&conviction),
			"ambiguous":   conviction.Ambiguous,
		})
	}
}

// identify records the names of a refused request's segments.
func (r *refusedSegments) identify(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, key := range request.SegmentKeys {
		known := r.known[key]
		if known == nil || known.ID != "" {
			continue
		}
		known.ID = request.Prompt.Segments[i].ID
		if request.Account != nil {
			known.Account = request.Account.Name
		}
	}
}

// list returns the refused segments in the order of their keys.
func (r *refusedSegments) list() []RefusedSegment {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := lo.MapToSlice(r.known, func(_ crash.Segment, known *RefusedSegment) RefusedSegment { return *known })
	slices.SortFunc(listed, func(a, b RefusedSegment) int { return cmp.Compare(a.Segment, b.Segment) })
	return listed
}
