package gate

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/event"
)

// segmentKeys returns the keys of the segments of a request's prompt that other requests may
// have too. They are those of its client account, or of its host on public routes: nobody else's
// requests are refused for what it sends.
func segmentKeys(request *Request) []crash.Segment {
	segments := request.Prompt.SharedSegments()
	if len(segments) == 0 {
		return nil
	}
	owner := "host\x00" + request.Host
	if request.Account != nil {
		owner = "account\x00" + string(request.Account.Name)
	}
	return lo.Map(segments, func(segment PromptSegment, _ int) crash.Segment {
		return crash.Segment(xxhash.Sum64String(owner + "\x00" + segment.ID))
	})
}

// refuseSegments returns the refusal of a request with a segment that crashes backend servers,
// or nil.
func (h *handler) refuseSegments(request *Request) *Refusal {
	if request.trial || len(request.SegmentKeys) == 0 {
		return nil
	}
	ruling := h.segments.Judge(request.SegmentKeys, h.segmentOrder, boottime.Now())
	if ruling.Trial {
		request.trial = true
		h.requestLog.segmentTried(request)
	}
	if ruling.Conviction == nil {
		return nil
	}
	h.refusedSegments.identify(request)
	refusal := &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonSegment, RetryAfter: suspectRetryAfter, Conviction: ruling.Conviction}
	if ruling.Conviction.Ambiguous {
		refusal.RetryAfter = ambiguousRetryAfter
	}
	return refusal
}

// ambiguousRetryAfter is the Retry-After for a request with a segment that may prove sound.
const ambiguousRetryAfter = 2 * time.Second

// segmentOrder returns how many routers come before this one in the segment's order of them.
func (h *handler) segmentOrder(segment crash.Segment) int {
	before, _ := h.admission.peers.Order(uint64(segment))
	return before
}

// cancelTrial lets another request be tried in place of one that has not run.
func (h *handler) cancelTrial(request *Request, refusal Refusal) {
	if request != nil && request.trial && promisesNotRun(refusal.Status) {
		h.segments.CancelTrial(request.SegmentKeys)
	}
}

// refuseSegments is like handler.refuseSegments, for a request of which one send may be a trial.
func (r *relay) refuseSegments() *Refusal {
	if r.sends > 0 {
		r.request.trial = false
	}
	return r.handler.refuseSegments(r.request)
}

// run returns what the backend server ran, for the case that it crashed. Segments crash servers
// as the answer begins, so those of an answer that has been going on did not.
func (r *relay) run(now boottime.Instant) crash.Run {
	run := crash.Run{Fingerprint: r.request.Fingerprint}
	if r.eventsSince == 0 || now.Sub(r.eventsSince) < crash.SoundAfter {
		run.Segments = r.request.SegmentKeys
	}
	return run
}

// recordSoundStream records that the segments of a stream are sound once it is complete, or whole
// events have come for some time.
func (r *relay) recordSoundStream(now boottime.Instant, complete bool) {
	if r.eventsSince == 0 || r.soundRecorded || (!complete && now.Sub(r.eventsSince) < crash.SoundAfter) {
		return
	}
	r.soundRecorded = true
	r.handler.segments.Sound(r.request.SegmentKeys, r.eventsSince, now)
}

// scatterServers is the number of backend servers that must be going down for requests to be
// scattered.
const scatterServers = 2

// scatter lets a request that ran on a server which went down go on at any engine, if others are
// going down too. By its prompt it would be sent where the requests with the same segments go
// that ran beside it, one of which may crash the next server as well.
func (r *relay) scatter(result sendOutcome) {
	if result != outcomeBroken {
		return
	}
	// Both may have the same servers; the first has those of other routers too.
	told := r.handler.segments.CrashesSince(boottime.Now().Add(-crash.SilenceTimeout))
	own := len(r.handler.crashDetector.Incarnations())
	if max(told, own) >= scatterServers {
		r.request.scattered = true
	}
}

// segmentName and serverName are how logs and operators name segments and crashed servers.
func segmentName(segment crash.Segment) string { return fmt.Sprintf("%016x", uint64(segment)) }
func serverName(hash uint32) string            { return fmt.Sprintf("%08x", hash) }

// addConviction adds why a request's segment is refused.
func addConviction(fields logrus.Fields, request *Request, conviction *crash.Conviction) {
	if conviction == nil {
		return
	}
	fields["segment_key"] = segmentName(conviction.Segment)
	fields["servers"] = serverNames(conviction)
	fields["ambiguous"] = conviction.Ambiguous
	for i, key := range request.SegmentKeys {
		if key == conviction.Segment {
			fields["segment"] = request.Prompt.Segments[i].ID
		}
	}
}

// serverNames returns the names of the servers that crashed last under a segment.
func serverNames(conviction *crash.Conviction) []string {
	newest := conviction.Servers[max(len(conviction.Servers)-maxLoggedServers, 0):]
	return lo.Map(newest, func(hash uint32, _ int) string { return serverName(hash) })
}

func (r *requestLog) segmentTried(request *Request) {
	r.write(r.failureLimit, event.GateSegmentTried, request, logrus.Fields{
		"segment_keys": lo.Map(request.SegmentKeys, func(key crash.Segment, _ int) string { return segmentName(key) }),
	})
}
