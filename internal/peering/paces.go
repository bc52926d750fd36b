package peering

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

const (
	// cyclesPerPaces is the interval, in cycles, at which a cycle carries paces. In a
	// cycle every target is sent to once. Paces change slowly.
	cyclesPerPaces = 20
	// maxPaceRounds bounds the number of rounds between cycles with paces. In zones with
	// hundreds of routers a cycle takes a second or more, and paces must be sent again
	// before they expire at the receiver.
	maxPaceRounds = int(pace.MaxAge / 3 / heartbeatInterval)
	// workTimeScale encodes work times in hundredths.
	workTimeScale = 100
	// streamScale encodes stream counts in tenths.
	streamScale = 10
)

// paces are the reported speeds of backend servers, by the hashes of their incarnations.
// usual and slowed are sent at different intervals.
type paces struct {
	usual   map[uint32]pace.Observation // everything but the newest work times
	usualAt boottime.Instant            // the time as of which usual is
	slowed  map[uint32]pace.Observation // only the newest work times
}

// newPaces returns empty paces as of the given time.
func newPaces(now boottime.Instant) paces {
	return paces{usual: make(map[uint32]pace.Observation), slowed: make(map[uint32]pace.Observation), usualAt: now}
}

// splitPaces splits this router's observations into the parts that heartbeats carry.
func splitPaces(observed map[uint32]pace.Observation, now boottime.Instant) paces {
	if len(observed) == 0 {
		return paces{usualAt: now}
	}
	own := newPaces(now)
	for server, observation := range observed {
		if observation.Slowed(now) {
			own.slowed[server] = pace.Observation{Now: observation.Now, NowAt: observation.NowAt}
		}
		observation.Now, observation.NowAt = 0, 0
		own.usual[server] = observation
	}
	return own
}

// add adds reported paces, decayed to the given time. Usual work times are added only if
// withUsual is set.
func (p *paces) add(other paces, now boottime.Instant, withUsual bool) {
	if passed := now.Sub(other.usualAt); withUsual && passed < pace.MaxAge {
		for server, observation := range other.usual {
			p.usual[server] = p.usual[server].Merge(observation.Decayed(passed))
		}
	}
	for server, observation := range other.slowed {
		p.slowed[server] = p.slowed[server].Merge(observation)
	}
}

// orPrevious returns p, with the previous usual work times if p has none.
func (p paces) orPrevious(previous paces) paces {
	if p.usual == nil {
		p.usual, p.usualAt = previous.usual, previous.usualAt
	}
	return p
}

// merged returns both parts as one map, nil if both are empty.
func (p paces) merged() map[uint32]pace.Observation {
	if len(p.usual)+len(p.slowed) == 0 {
		return nil
	}
	for server, observation := range p.slowed {
		p.usual[server] = p.usual[server].Merge(observation)
	}
	return p.usual
}

// Paces implements gate.Peers. It merges without holding the lock: requests wait for the
// lock, and the routers of a large fleet report on hundreds of servers each.
func (t *table) Paces(now boottime.Instant) map[uint32]pace.Observation {
	total := newPaces(now)
	for _, reported := range t.reportedPaces(now) {
		total.add(reported, now, true)
	}
	return total.merged()
}

// reportedPaces returns the paces reported by each reachable router, and the aggregate of
// other zones. Their maps are replaced and never modified, so they may be read without
// the lock.
func (t *table) reportedPaces(now boottime.Instant) []paces {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := make([]paces, 0, len(t.peers)+1)
	for _, peer := range t.peers {
		if t.reachable(peer, now) {
			reported = append(reported, peer.usage.paces)
		}
	}
	return append(reported, t.otherZonePaces)
}

// pacesDue reports whether heartbeats of a round carry paces, if a cycle through the
// targets takes the given number of rounds. The router's hash spreads routers that start
// together over different rounds.
func (t *table) pacesDue(round, roundsOfCycle int) bool {
	cycles := max(min(cyclesPerPaces, maxPaceRounds/roundsOfCycle), 1)
	return (round/roundsOfCycle+int(t.hash%uint64(cycles)))%cycles == 0
}

// encode returns the parts for a heartbeat. Usual work times are included if withUsual is set.
func (p paces) encode(withUsual bool, now boottime.Instant) (*peeringpb.Paces, *peeringpb.Slowed) {
	if !withUsual {
		return nil, encodeSlowed(p, now)
	}
	return encodePaces(p.usual), encodeSlowed(p, now)
}

// encodePaces returns nil without usual work times, so that the field is omitted.
func encodePaces(usual map[uint32]pace.Observation) *peeringpb.Paces {
	encoded := &peeringpb.Paces{}
	for server, observation := range usual {
		if observation.Usual == 0 {
			continue
		}
		encoded.Backend = append(encoded.Backend, server)
		encoded.Usual = append(encoded.Usual, max(roundToUint32(observation.Usual*workTimeScale), 1))
		encoded.ReadTokens = append(encoded.ReadTokens, roundToUint32(observation.ReadTokens/tokensPerLoadUnit))
		encoded.ReadMs = append(encoded.ReadMs, roundToUint32(observation.ReadSeconds*1000))
		encoded.Streams = append(encoded.Streams, roundToUint32(observation.Streams*streamScale))
		encoded.Late = append(encoded.Late, roundToUint32(observation.Late*streamScale))
	}
	if len(encoded.Backend) == 0 {
		return nil
	}
	return encoded
}

// encodeSlowed returns nil if no server is slowed. It omits servers whose usual work
// time, merged from several routers, is higher than the reporting router assumed, so that
// they no longer count as slowed.
func encodeSlowed(p paces, now boottime.Instant) *peeringpb.Slowed {
	encoded := &peeringpb.Slowed{}
	for server, newest := range p.slowed {
		if newest.Usual = p.usual[server].Usual; !newest.Slowed(now) {
			continue
		}
		encoded.Backend = append(encoded.Backend, server)
		encoded.Now = append(encoded.Now, roundToUint32(newest.Now*workTimeScale))
		encoded.AgeMs = append(encoded.AgeMs, roundToUint32(float64(now.Sub(newest.NowAt))/float64(time.Millisecond)))
	}
	if len(encoded.Backend) == 0 {
		return nil
	}
	return encoded
}

// roundToUint32 rounds to the nearest integer, within the range of uint32.
func roundToUint32(value float64) uint32 {
	return uint32(math.Round(min(max(value, 0), math.MaxUint32)))
}

// decodePaces decodes the paces of a heartbeat or an aggregate, as many entries as all
// lists have.
func decodePaces(usual *peeringpb.Paces, slowed *peeringpb.Slowed, now boottime.Instant) paces {
	decoded := paces{usualAt: now}
	if usual != nil {
		decoded.usual = decodeUsual(usual)
	}
	count := min(len(slowed.GetBackend()), len(slowed.GetNow()), len(slowed.GetAgeMs()))
	for i := range count {
		workTime := float64(slowed.Now[i]) / workTimeScale
		if !pace.ValidWorkTime(workTime) {
			continue
		}
		if decoded.slowed == nil {
			decoded.slowed = make(map[uint32]pace.Observation, count)
		}
		at := now.Add(-time.Duration(slowed.AgeMs[i]) * time.Millisecond)
		decoded.slowed[slowed.Backend[i]] = pace.Observation{Now: workTime, NowAt: max(at, 1)}
	}
	return decoded
}

// decodeUsual decodes usual work times, as many entries as all lists have.
func decodeUsual(encoded *peeringpb.Paces) map[uint32]pace.Observation {
	count := min(len(encoded.Backend), len(encoded.Usual), len(encoded.ReadTokens), len(encoded.ReadMs), len(encoded.Streams), len(encoded.Late))
	usual := make(map[uint32]pace.Observation, count)
	for i := range count {
		workTime := float64(encoded.Usual[i]) / workTimeScale
		if !pace.ValidWorkTime(workTime) {
			continue
		}
		usual[encoded.Backend[i]] = pace.Observation{
			Usual:       workTime,
			ReadTokens:  float64(encoded.ReadTokens[i]) * tokensPerLoadUnit,
			ReadSeconds: float64(encoded.ReadMs[i]) / 1000,
			Streams:     float64(encoded.Streams[i]) / streamScale,
			Late:        float64(encoded.Late[i]) / streamScale,
		}
	}
	return usual
}

// enginePaceReport returns the speeds of backend servers for operators.
func enginePaceReport(engines []gate.EnginePace) []*peeringpb.EnginePace {
	report := make([]*peeringpb.EnginePace, 0, len(engines))
	for _, engine := range engines {
		report = append(report, &peeringpb.EnginePace{
			Id:         engine.ID,
			Service:    string(engine.Service),
			Zone:       string(engine.Zone),
			Usual:      float32(engine.Estimate.Usual),
			Now:        float32(engine.Estimate.Now),
			TokensPerS: float32(engine.Estimate.Rate),
			Late:       float32(engine.Estimate.Late),
			Age:        int64(engine.Estimate.Age),
			Running:    uint32(max(engine.Running, 0)),
		})
	}
	return report
}
