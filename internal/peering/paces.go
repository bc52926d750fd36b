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
	// paceCycles is the number of cycles, in each of which all targets have their turn
	// once, of which one carries paces. They change slowly.
	paceCycles = 20
	// paceRounds bounds the rounds from one of these cycles to the next. In zones with
	// hundreds of routers a cycle takes a second or more, and what was told must be
	// replaced before it is too old to count.
	paceRounds = int(pace.MaxAge / 3 / beatInterval)
	// paceDigits converts work times to hundredths.
	paceDigits = 100
	// streamUnits is how many units a stream counts in beats.
	streamUnits = 10
)

// paces are what routers told of how fast backend servers work, by the hashes of their
// incarnations. The two parts are told at different times.
type paces struct {
	usual  map[uint32]pace.Observation // all but the newest work times
	at     boottime.Instant            // the moment as of which usual is
	slowed map[uint32]pace.Observation // the newest work times alone
}

// newPaces returns sums that are empty, as of the moment.
func newPaces(now boottime.Instant) paces {
	return paces{usual: make(map[uint32]pace.Observation), slowed: make(map[uint32]pace.Observation), at: now}
}

// ownPaces divides what this router has seen into the parts that beats carry.
func ownPaces(seen map[uint32]pace.Observation, now boottime.Instant) paces {
	if len(seen) == 0 {
		return paces{at: now}
	}
	own := newPaces(now)
	for server, observation := range seen {
		if observation.Slowed(now) {
			own.slowed[server] = pace.Observation{Now: observation.Now, NowAt: observation.NowAt}
		}
		observation.Now, observation.NowAt = 0, 0
		own.usual[server] = observation
	}
	return own
}

// add adds what others told, as it has become until the moment, the usual work times only
// if usual is set.
func (p *paces) add(other paces, now boottime.Instant, usual bool) {
	if passed := now.Sub(other.at); usual && passed < pace.MaxAge {
		for server, observation := range other.usual {
			p.usual[server] = p.usual[server].Merge(observation.Decayed(passed))
		}
	}
	for server, observation := range other.slowed {
		p.slowed[server] = p.slowed[server].Merge(observation)
	}
}

// or returns what is told, with the usual work times told before where none came with
// it.
func (p paces) or(before paces) paces {
	if p.usual == nil {
		p.usual, p.at = before.usual, before.at
	}
	return p
}

// merged returns both parts as one, nil if nothing is known.
func (p paces) merged() map[uint32]pace.Observation {
	if len(p.usual)+len(p.slowed) == 0 {
		return nil
	}
	for server, observation := range p.slowed {
		p.usual[server] = p.usual[server].Merge(observation)
	}
	return p.usual
}

// Paces implements gate.Peers. It merges without holding the lock: requests wait for it,
// and the routers of a large fleet report on hundreds of servers each.
func (t *table) Paces(now boottime.Instant) map[uint32]pace.Observation {
	total := newPaces(now)
	for _, reported := range t.reportedPaces(now) {
		total.add(reported, now, true)
	}
	return total.merged()
}

// reportedPaces returns what each router that is heard reported, and the sums of other
// zones. Their maps are replaced as a whole, never changed, so they may be read without
// the lock.
func (t *table) reportedPaces(now boottime.Instant) []paces {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := make([]paces, 0, len(t.peers)+1)
	for _, peer := range t.peers {
		if t.hears(peer, now) {
			reported = append(reported, peer.use.paces)
		}
	}
	return append(reported, t.otherPaces)
}

// pacesDue tells whether the beats of a round to targets that have their turn in so many
// rounds carry paces. Routers that start together have theirs in different rounds.
func (t *table) pacesDue(round, turns int) bool {
	cycles := max(min(paceCycles, paceRounds/turns), 1)
	return (round/turns+int(t.hash%uint64(cycles)))%cycles == 0
}

// carry returns the parts that a beat carries, the usual work times only when due.
func (p paces) carry(due bool, now boottime.Instant) (*peeringpb.Paces, *peeringpb.Slowed) {
	if !due {
		return nil, encodeSlowed(p, now)
	}
	return encodePaces(p.usual), encodeSlowed(p, now)
}

// encodePaces returns nil if nothing is known, so that nothing is sent.
func encodePaces(usual map[uint32]pace.Observation) *peeringpb.Paces {
	encoded := &peeringpb.Paces{}
	for server, observation := range usual {
		if observation.Usual == 0 {
			continue
		}
		encoded.Backend = append(encoded.Backend, server)
		encoded.Usual = append(encoded.Usual, max(units(observation.Usual*paceDigits), 1))
		encoded.ReadTokens = append(encoded.ReadTokens, units(observation.ReadTokens/loadUnit))
		encoded.ReadMs = append(encoded.ReadMs, units(observation.ReadSeconds*1000))
		encoded.Streams = append(encoded.Streams, units(observation.Streams*streamUnits))
		encoded.Late = append(encoded.Late, units(observation.Late*streamUnits))
	}
	if len(encoded.Backend) == 0 {
		return nil
	}
	return encoded
}

// encodeSlowed returns nil if no server is slowed. Those whose usual work time is higher
// than the one who told thought are left out.
func encodeSlowed(p paces, now boottime.Instant) *peeringpb.Slowed {
	encoded := &peeringpb.Slowed{}
	for server, newest := range p.slowed {
		if newest.Usual = p.usual[server].Usual; !newest.Slowed(now) {
			continue
		}
		encoded.Backend = append(encoded.Backend, server)
		encoded.Now = append(encoded.Now, units(newest.Now*paceDigits))
		encoded.AgeMs = append(encoded.AgeMs, units(float64(now.Sub(newest.NowAt))/float64(time.Millisecond)))
	}
	if len(encoded.Backend) == 0 {
		return nil
	}
	return encoded
}

// units rounds a figure that is not negative to whole units.
func units(value float64) uint32 {
	return uint32(math.Round(min(max(value, 0), math.MaxUint32)))
}

// decodePaces reads what a beat or sums carry, as many entries as all lists have.
func decodePaces(usual *peeringpb.Paces, slowed *peeringpb.Slowed, now boottime.Instant) paces {
	told := paces{at: now}
	if usual != nil {
		told.usual = decodeUsual(usual)
	}
	count := min(len(slowed.GetBackend()), len(slowed.GetNow()), len(slowed.GetAgeMs()))
	for i := range count {
		workTime := float64(slowed.Now[i]) / paceDigits
		if !pace.ValidWorkTime(workTime) {
			continue
		}
		if told.slowed == nil {
			told.slowed = make(map[uint32]pace.Observation, count)
		}
		at := now.Add(-time.Duration(slowed.AgeMs[i]) * time.Millisecond)
		told.slowed[slowed.Backend[i]] = pace.Observation{Now: workTime, NowAt: max(at, 1)}
	}
	return told
}

func decodeUsual(encoded *peeringpb.Paces) map[uint32]pace.Observation {
	count := min(len(encoded.Backend), len(encoded.Usual), len(encoded.ReadTokens), len(encoded.ReadMs), len(encoded.Streams), len(encoded.Late))
	usual := make(map[uint32]pace.Observation, count)
	for i := range count {
		workTime := float64(encoded.Usual[i]) / paceDigits
		if !pace.ValidWorkTime(workTime) {
			continue
		}
		usual[encoded.Backend[i]] = pace.Observation{
			Usual:       workTime,
			ReadTokens:  float64(encoded.ReadTokens[i]) * loadUnit,
			ReadSeconds: float64(encoded.ReadMs[i]) / 1000,
			Streams:     float64(encoded.Streams[i]) / streamUnits,
			Late:        float64(encoded.Late[i]) / streamUnits,
		}
	}
	return usual
}

// reportPaces tells operators how fast backend servers work.
func reportPaces(engines []gate.EnginePace) []*peeringpb.EnginePace {
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
