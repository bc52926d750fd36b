package peering

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// Evidence on prompt segments that crash backend servers goes in datagrams of its own, each to
// a few routers, which pass it on. Heartbeats go to all routers in turn, so that in a large
// fleet the last ones would know seconds after the first, while requests with the segment
// arrive at any of them.
//
// Each router tells the same few others, which follow from the order of all routers by the
// hashes of their addresses. So each is told by just as many. With recipients picked at random
// the number of those that tell a router varies, and in a large fleet some are told by none.

const (
	// evidenceInterval is the interval between two rounds in which news is told.
	evidenceInterval = 50 * time.Millisecond
	// evidenceFanout is the number of routers to which a round goes. With evidenceLimit, the
	// bytes of one message, it bounds what a router sends: 15 KB a second.
	evidenceFanout = 3
	evidenceLimit  = 256
	// evidenceNeighbours is the number of routers that a router tells, in turn: all of them in
	// the rounds in which a piece of news is told.
	evidenceNeighbours = crash.TellRounds * evidenceFanout
	// refusedRounds is the number of rounds after which refused segments are told again, in
	// turn. It reaches routers that all news has missed.
	refusedRounds = 20
	// newcomerLimit bounds the bytes of each message that tells a router which has just been
	// heard for the first time what is refused.
	newcomerLimit = 1 << 10
)

// tellEvidence tells other routers of crashes until the context ends.
func (m *Manager) tellEvidence(ctx context.Context) error {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for round, refusedFrom := 1, 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		refusedFrom = m.tellEvidenceRound(round, refusedFrom, boottime.Now())
	}
}

// tellEvidenceRound tells some routers the news, or now and then what is refused, from the given
// position on. It returns the next position.
func (m *Manager) tellEvidenceRound(round, refusedFrom int, now boottime.Instant) int {
	evidence := m.local.NextCrashEvidence(evidenceLimit, now)
	if evidence.Empty() && round%refusedRounds == 0 {
		evidence, refusedFrom = m.local.RefusedSegments(refusedFrom, evidenceLimit, now)
	}
	if !evidence.Empty() {
		m.sendEvidence(evidence, evidenceTargets(round, m.evidenceNeighbours(now))...)
	}
	return refusedFrom
}

// evidenceNeighbours returns the routers that this router tells.
func (m *Manager) evidenceNeighbours(now boottime.Instant) []fleet.Address {
	return neighboursOf(m.successors(now))
}

// neighboursOf returns those of a router's successors in the order of all routers that it tells:
// at distances that grow by a constant factor, so that a few steps lead to any router, and are the
// same for each router, so that each has as many predecessors.
func neighboursOf(successors []fleet.Address) []fleet.Address {
	if len(successors) <= evidenceNeighbours {
		return successors
	}
	neighbours := make([]fleet.Address, evidenceNeighbours)
	distance := 0
	for i := range neighbours {
		growing := math.Pow(float64(len(successors)+1), float64(i)/evidenceNeighbours)
		distance = max(distance+1, int(growing))
		// Each round gets near and distant ones.
		neighbours[i%crash.TellRounds*evidenceFanout+i/crash.TellRounds] = successors[distance-1]
	}
	return neighbours
}

// evidenceTargets returns the neighbours to which a round goes.
func evidenceTargets(round int, neighbours []fleet.Address) []fleet.Address {
	if len(neighbours) <= evidenceFanout {
		return neighbours
	}
	return lo.Times(evidenceFanout, func(i int) fleet.Address { return neighbours[(round*evidenceFanout+i)%len(neighbours)] })
}

// sendEvidence sends evidence to some routers.
func (m *Manager) sendEvidence(evidence crash.Evidence, targets ...fleet.Address) {
	if len(targets) == 0 || evidence.Empty() {
		return
	}
	data, err := proto.Marshal(&peeringpb.Beat{Address: string(m.options.Address), CrashEvidence: encodeEvidence(evidence)})
	if err != nil {
		panic(err) // only invalid UTF-8 can't be encoded
	}
	for _, target := range targets {
		m.network.Send(data, target)
		m.traffic.count(messageEvidence, m.inOwnZone(target), len(data))
	}
}

// handleEvidence applies evidence, and answers with what its sender does not know.
func (m *Manager) handleEvidence(sender fleet.Address, message *peeringpb.CrashEvidence, now boottime.Instant) {
	evidence, valid := decodeEvidence(message)
	if !valid {
		return
	}
	m.sendEvidence(m.local.ReceiveCrashEvidence(evidence, now), sender)
}

// tellNewcomer tells a router that has just been heard for the first time, or again, what is
// refused, if it is a neighbour.
func (m *Manager) tellNewcomer(router fleet.Address, now boottime.Instant) {
	evidence, next := m.local.RefusedSegments(0, newcomerLimit, now)
	if evidence.Empty() || !slices.Contains(m.evidenceNeighbours(now), router) {
		return
	}
	m.sendEvidence(evidence, router)
	for next != 0 {
		evidence, next = m.local.RefusedSegments(next, newcomerLimit, now)
		m.sendEvidence(evidence, router)
	}
}

func encodeEvidence(evidence crash.Evidence) *peeringpb.CrashEvidence {
	message := &peeringpb.CrashEvidence{
		Sound:   encodeSegmentAges(evidence.Sound),
		Refused: encodeSegmentAges(evidence.Refused),
		Tried:   encodeSegmentAges(evidence.Tried),
	}
	for _, told := range evidence.Crashes {
		message.Server = append(message.Server, told.Server)
		message.Down = append(message.Down, told.Down)
		message.AgeMs = append(message.AgeMs, milliseconds(told.Age))
		message.Segments = append(message.Segments, uint32(len(told.Segments)))
		for _, segment := range told.Segments {
			message.Segment = append(message.Segment, uint64(segment))
		}
	}
	return message
}

func encodeSegmentAges(ages []crash.SegmentAge) *peeringpb.SegmentAges {
	if len(ages) == 0 {
		return nil
	}
	message := &peeringpb.SegmentAges{}
	for _, told := range ages {
		message.Segment = append(message.Segment, uint64(told.Segment))
		message.AgeMs = append(message.AgeMs, milliseconds(told.Age))
	}
	return message
}

// milliseconds returns an age as it is sent. An event may seem to lie in the future by a
// fraction of a second, as its age was rounded on the way.
func milliseconds(age time.Duration) uint32 { return uint32(max(age.Milliseconds(), 0)) }

// decodeEvidence returns the evidence of a message, false if its lists don't fit together.
func decodeEvidence(message *peeringpb.CrashEvidence) (crash.Evidence, bool) {
	var evidence crash.Evidence
	if len(message.AgeMs) != len(message.Server) || len(message.Segments) != len(message.Server) || len(message.Down) != len(message.Server) {
		return evidence, false
	}
	rest := message.Segment
	for i, server := range message.Server {
		count := int(message.Segments[i])
		if count > len(rest) {
			return evidence, false
		}
		evidence.Crashes = append(evidence.Crashes, crash.ServerCrash{
			Server:   server,
			Down:     message.Down[i],
			Age:      time.Duration(message.AgeMs[i]) * time.Millisecond,
			Segments: lo.Map(rest[:count], func(segment uint64, _ int) crash.Segment { return crash.Segment(segment) }),
		})
		rest = rest[count:]
	}
	var soundValid, refusedValid, triedValid bool
	evidence.Sound, soundValid = decodeSegmentAges(message.Sound)
	evidence.Refused, refusedValid = decodeSegmentAges(message.Refused)
	evidence.Tried, triedValid = decodeSegmentAges(message.Tried)
	return evidence, soundValid && refusedValid && triedValid
}

func decodeSegmentAges(message *peeringpb.SegmentAges) ([]crash.SegmentAge, bool) {
	if len(message.GetSegment()) != len(message.GetAgeMs()) {
		return nil, false
	}
	return lo.Map(message.GetSegment(), func(segment uint64, i int) crash.SegmentAge {
		return crash.SegmentAge{Segment: crash.Segment(segment), Age: time.Duration(message.AgeMs[i]) * time.Millisecond}
	}), true
}
