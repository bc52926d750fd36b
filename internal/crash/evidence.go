package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Segment identifies a prompt segment of a client account, by a hash.
type Segment uint64

// Evidence is what routers tell each other about segments. Times are ages, as routers have no
// clock in common.
type Evidence struct {
	Crashes []ServerCrash
	Sound   []SegmentAge // since the newest sound answer began
	Refused []SegmentAge // since a router last refused a request with the segment
	Tried   []SegmentAge // since a router last sent one to try the segment
}

// ServerCrash says that connections to a backend server were reset while it ran requests with the
// segments.
type ServerCrash struct {
	Down     bool   // whether a router has found that the server went down
	Server   uint32 // hash of its incarnation
	Age      time.Duration
	Segments []Segment
}

// SegmentAge is a segment with the time since something happened to it.
type SegmentAge struct {
	Segment Segment
	Age     time.Duration
}

// Empty reports whether there is nothing to tell.
func (e Evidence) Empty() bool { return len(e.Crashes)+len(e.Sound)+len(e.Refused)+len(e.Tried) == 0 }

// Upper bounds of the encoded sizes, in bytes.
const (
	crashBytes   = 10 // server, age, verdict and number of segments
	segmentBytes = 8
	ageBytes     = 5
)

// TellRounds is the number of rounds in which a router tells others what it has learnt. Some
// messages get lost, and some go to routers that know it already.
const TellRounds = 3

// Next returns the evidence to be told in this round, within about limit bytes, and the most
// telling first. It is empty if there is no news.
func (t *SegmentTable) Next(limit int, now boottime.Instant) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.news {
		return Evidence{}
	}
	t.evaluateIfDue(now)
	var evidence Evidence
	add := func(list *[]SegmentAge, rounds *int, segment Segment, at boottime.Instant) {
		if *rounds == 0 || limit < segmentBytes+ageBytes {
			return
		}
		*rounds--
		limit -= segmentBytes + ageBytes
		*list = append(*list, SegmentAge{segment, now.Sub(at)})
	}
	for segment, accused := range t.accused {
		add(&evidence.Tried, &accused.tellTrial, segment, accused.trial)
		add(&evidence.Sound, &accused.tellSound, segment, accused.sound)
		add(&evidence.Refused, &accused.tellRefused, segment, accused.refused)
	}
	evidence.Crashes = t.nextCrashes(limit, now)
	t.news = t.hasNews()
	return evidence
}

// newsItem is a segment in a crash that has to be told.
type newsItem struct {
	crash   *serverCrash
	segment Segment
	weight  int // crashes in which the segment was
}

// nextCrashes returns what has to be told of crashes, within about limit bytes. Segments that
// were in many crashes come first.
func (t *SegmentTable) nextCrashes(limit int, now boottime.Instant) []ServerCrash {
	weights := make(map[Segment]int)
	var items []newsItem
	for _, crash := range t.crashes {
		for segment, rounds := range crash.segments {
			weights[segment]++
			if rounds > 0 {
				items = append(items, newsItem{crash: crash, segment: segment})
			}
		}
	}
	for i := range items {
		items[i].weight = weights[items[i].segment]
	}
	slices.SortFunc(items, func(a, b newsItem) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(b.crash.at, a.crash.at), cmp.Compare(a.segment, b.segment))
	})
	var told []*serverCrash
	segments := make(map[*serverCrash][]Segment)
	for _, crash := range t.crashes {
		if crash.tellDown > 0 && limit >= crashBytes {
			crash.tellDown--
			limit -= crashBytes
			told, segments[crash] = append(told, crash), []Segment{}
		}
	}
	for _, item := range items {
		size := segmentBytes
		if segments[item.crash] == nil {
			size += crashBytes
		}
		if size > limit {
			break
		}
		limit -= size
		if segments[item.crash] == nil {
			told = append(told, item.crash)
		}
		segments[item.crash] = append(segments[item.crash], item.segment)
		item.crash.segments[item.segment]--
	}
	return lo.Map(told, func(crash *serverCrash, _ int) ServerCrash {
		return ServerCrash{Down: crash.down, Server: crash.server, Age: now.Sub(crash.at), Segments: segments[crash]}
	})
}

// hasNews reports whether something has still to be told.
func (t *SegmentTable) hasNews() bool {
	for _, accused := range t.accused {
		if accused.tellSound+accused.tellRefused+accused.tellTrial > 0 {
			return true
		}
	}
	return lo.SomeBy(t.crashes, func(crash *serverCrash) bool {
		return crash.tellDown > 0 || lo.SomeBy(lo.Values(crash.segments), func(rounds int) bool { return rounds > 0 })
	})
}

// maxToldCrashes is how many crashes support a segment that is told in full.
const maxToldCrashes = 8

// Refused returns the evidence on refused segments, each with what convicts it, from the given
// position in their order on: as much as is within about limit bytes, but one at least. It
// returns the position after that, 0 at the end.
func (t *SegmentTable) Refused(from, limit int, now boottime.Instant) (evidence Evidence, next int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 {
		return Evidence{}, 0
	}
	t.evaluateIfDue(now)
	convicted := lo.Keys(*t.convictions.Load())
	slices.Sort(convicted)
	size := 0
	for i := from; i < len(convicted); i++ {
		segment := convicted[i]
		if size > 0 && size >= limit {
			return evidence, i
		}
		accused := t.accused[segment]
		if accused.refused != 0 {
			evidence.Refused = append(evidence.Refused, SegmentAge{segment, now.Sub(accused.refused)})
			size += segmentBytes + ageBytes
		}
		crashes := t.counted(segment)
		for _, crash := range crashes[max(len(crashes)-maxToldCrashes, 0):] {
			evidence.Crashes = append(evidence.Crashes, ServerCrash{Down: true, Server: crash.server, Age: now.Sub(crash.at), Segments: []Segment{segment}})
			size += crashBytes + segmentBytes
		}
	}
	return evidence, 0
}

// ageTolerance is how much newer an event must be than the known one to count as another. An
// age grows a little with each router that passes it on; without a tolerance one event would be
// told as a newer one forever.
const ageTolerance = 500 * time.Millisecond

// Receive applies what another router has told. It returns what that router should know in
// reply: sound answers because of which crashes no longer count. Without them a router that was
// cut off while they were told would go on refusing sound requests.
func (t *SegmentTable) Receive(evidence Evidence, now boottime.Instant) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(evidence, now)
	t.evidenceAdded(now)
	return t.objections(evidence, now)
}

// apply adds evidence without working out what is refused.
func (t *SegmentTable) apply(evidence Evidence, now boottime.Instant) {
	for _, told := range evidence.Sound {
		t.receiveSound(told.Segment, now.Add(-told.Age))
	}
	for _, told := range evidence.Crashes {
		t.addCrash(told.Server, now.Add(-told.Age), told.Segments, told.Down)
	}
	for _, told := range evidence.Refused {
		t.receiveRefused(told.Segment, now.Add(-told.Age))
	}
	for _, told := range evidence.Tried {
		t.receiveTrial(told.Segment, now.Add(-told.Age))
	}
}

// maxObjections bounds the sound answers that are told in reply.
const maxObjections = 16

// objections returns the sound answers because of which crashes do not count that another router
// has told, unless it told of them too.
func (t *SegmentTable) objections(evidence Evidence, now boottime.Instant) Evidence {
	told := lo.SliceToMap(evidence.Sound, func(sound SegmentAge) (Segment, bool) { return sound.Segment, true })
	var reply Evidence
	for _, crash := range evidence.Crashes {
		for _, segment := range crash.Segments {
			accused := t.accused[segment]
			if accused == nil || accused.sound == 0 || told[segment] || accused.sound.Add(soundMemory) < now.Add(-crash.Age) || len(reply.Sound) == maxObjections {
				continue
			}
			told[segment] = true
			reply.Sound = append(reply.Sound, SegmentAge{segment, now.Sub(accused.sound)})
		}
	}
	return reply
}

// isNewer reports whether an event is another and newer one than the known one, 0 for none. What
// others tell may lie before the start of this VM, at an instant below 0.
func isNewer(at, known boottime.Instant) bool { return known == 0 || at > known.Add(ageTolerance) }

// receiveSound records a sound answer of another router. The accusation may come later.
func (t *SegmentTable) receiveSound(segment Segment, at boottime.Instant) {
	if known, ok := t.seen.Peek(segment); !ok || at > known.Add(ageTolerance) {
		t.seen.Add(segment, at)
	}
	if accused := t.accused[segment]; accused != nil && isNewer(at, accused.sound) {
		accused.sound = at
		t.tell(&accused.tellSound)
	}
}

func (t *SegmentTable) receiveRefused(segment Segment, at boottime.Instant) {
	if accused := t.accused[segment]; accused != nil && isNewer(at, accused.refused) {
		accused.refused = at
		t.tell(&accused.tellRefused)
	}
}

func (t *SegmentTable) receiveTrial(segment Segment, at boottime.Instant) {
	if accused := t.accused[segment]; accused != nil && isNewer(at, accused.trial) {
		accused.trial = at
		t.tell(&accused.tellTrial)
	}
}

// tell sets the number of rounds in which an item is told.
func (t *SegmentTable) tell(rounds *int) {
	*rounds = TellRounds
	t.news = true
}
