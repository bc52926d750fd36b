package peering

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// sumSender is a summing router of zone1 that tells one router of zone0.
type sumSender struct {
	*table
	log         sumLog
	incarnation uint64
	total       use
	sent        []*peeringpb.Beat
}

func newSumSender(address fleet.Address) *sumSender {
	return &sumSender{table: newTable(address, "zone1"), incarnation: 1, total: newUse(0)}
}

// change draws what has changed since the last round.
func (s *sumSender) change(t *rapid.T, now boottime.Instant) {
	passed := now.Sub(s.total.at)
	for account, use := range s.total.uses {
		s.total.uses[account] = use.Decayed(passed)
	}
	s.total.at = now
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		engine := rapid.Uint32Range(0, 9).Draw(t, "engine")
		s.total.loads[engine] = gate.BackendLoad{
			Running: rapid.IntRange(1, 50).Draw(t, "running"),
			Pending: rapid.Float64Range(0, 20_000).Draw(t, "pending"),
			Memory:  rapid.Float64Range(0, 200_000).Draw(t, "memory"),
		}
		if rapid.Bool().Draw(t, "idle") {
			delete(s.total.loads, engine)
		}
		account := fleet.Account(fmt.Sprint("account-", rapid.IntRange(0, 9).Draw(t, "account")))
		tokens := rapid.Float64Range(0, 50_000).Draw(t, "tokens")
		s.total.uses[account] = s.total.uses[account].Add(shares.Usage{Requested: 2 * tokens, Granted: tokens, Idle: tokens / 3})
		if rapid.IntRange(0, 9).Draw(t, "forgotten") == 0 {
			delete(s.total.uses, account)
		}
	}
}

// tell returns the beat of a round.
func (s *sumSender) tell(now boottime.Instant) *peeringpb.Beat {
	s.log.update(s.total, now)
	beat := &peeringpb.Beat{Address: string(s.self), Zone: "zone1", Incarnation: s.incarnation, Clock: int64(now), Held: &peeringpb.Held{}}
	for receiver := range s.byBase([]fleet.Address{self}, &s.log) {
		told := receiver.told(&s.log, s.total, []fleet.Zone{"zone1"}, false)
		beat.Sums, beat.SumChanges = told.whole, told.changes
	}
	s.sent = append(s.sent, beat)
	return beat
}

// restart starts the sender's process again, which knows nothing of before.
func (s *sumSender) restart() {
	address, total := s.self, s.total
	*s = *newSumSender(address)
	s.incarnation, s.total = uint64(total.at), total
}

// checkSums compares the sums that a router holds with what the sender's are.
func checkSums(t *rapid.T, held *sums, sender *sumSender, now boottime.Instant) {
	if held == nil {
		t.Fatalf("nothing is held of %s", sender.self)
	}
	for engine := range uint32(10) {
		is, got := sender.total.loads[engine], held.loads[engine]
		if got.Running != is.Running || math.Abs(got.Pending-is.Pending) > loadTolerance*is.Pending+loadUnit || math.Abs(got.Memory-is.Memory) > loadTolerance*is.Memory+loadUnit {
			t.Fatalf("%s has %+v at engine %d, %+v is known", sender.self, is, engine, got)
		}
	}
	mean := meanGot(sender.total.uses)
	passed := now.Sub(held.at)
	for i := range 10 {
		account := fleet.Account(fmt.Sprint("account-", i))
		is, got := sender.total.uses[account], held.uses[account].Decayed(passed)
		isClose := func(got, is float64) bool { return math.Abs(got-is) <= useTolerance*(mean+is)+useUnit }
		if !isClose(got.Requested, is.Requested) || !isClose(got.Granted, is.Granted) || !isClose(got.Idle, is.Idle) {
			t.Fatalf("%s has %+v of %s, %+v is known", sender.self, is, account, got)
		}
	}
}

// Whatever beats are lost, repeated or late, and whichever processes start again, the sums
// that a router holds up to the newest beat are the sender's within the tolerance, and two
// rounds after the last trouble they are for each of two senders.
func TestSumChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := boottime.Instant(time.Hour)
		receiver, receiverIncarnation := newTable(self, "zone0"), uint64(1)
		senders := []*sumSender{newSumSender("10.0.1.1:1"), newSumSender("10.0.1.2:1")}
		round := func(trouble bool) {
			now = now.Add(beatInterval)
			happens := func(what string) bool { return trouble && rapid.IntRange(0, 3).Draw(t, what) == 0 }
			if happens("all stand still") && happens("for long") {
				now = now.Add(sumsRefresh)
			}
			if happens("receiver starts again") && happens("indeed") {
				receiver, receiverIncarnation = newTable(self, "zone0"), uint64(now)
			}
			for _, sender := range senders {
				if happens("sender starts again") && happens("indeed") {
					sender.restart()
				}
				if !happens("beat to sender is lost") {
					sender.take(&peeringpb.Beat{Address: self, Zone: "zone0", Incarnation: receiverIncarnation, Clock: int64(now),
						Held: receiver.held([]fleet.Address{sender.self})}, now)
				}
				sender.change(t, now)
				beat := sender.tell(now)
				if !happens("beat to receiver is lost") {
					receiver.take(beat, now)
				}
				if happens("an earlier beat comes") {
					receiver.take(rapid.SampledFrom(sender.sent).Draw(t, "earlier"), now)
				}
				if held := receiver.told[sender.self]; held != nil && held.clock == int64(now) {
					checkSums(t, held, sender, now)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			round(true)
		}
		round(false)
		round(false)
		for _, sender := range senders {
			checkSums(t, receiver.told[sender.self], sender, now)
		}
		total, covered := receiver.sumOthers(now, true, false)
		if len(covered) != 1 || len(total.loads) > 10 {
			t.Fatalf("%v are covered, %d loads", covered, len(total.loads))
		}
		for engine, load := range total.loads {
			first, second := senders[0].total.loads[engine].Running, senders[1].total.loads[engine].Running
			if load.Running != first && load.Running != second {
				t.Fatalf("%d run at engine %d, the senders tell %d and %d", load.Running, engine, first, second)
			}
		}
	})
}

// A set of changes that names nothing known, as from another version or somebody else, is no
// whole, and the whole is asked for.
func TestChangesWithUnknownNumbersEnd(t *testing.T) {
	now := boottime.Instant(time.Hour)
	receiver := newTable(self, "zone0")
	take := func(clock int64, changes *peeringpb.SumChanges) {
		receiver.take(&peeringpb.Beat{Address: "a", Zone: "zone1", Incarnation: 1, Clock: clock, SumChanges: changes}, now)
	}
	zones := []string{"zone1"}
	take(1, &peeringpb.SumChanges{Zones: zones, Base: 9, LoadStep: []uint32{1}, Running: []uint32{1}, Pending: []uint32{1}, Memory: []uint32{1}})
	if receiver.told["a"] != nil {
		t.Error("changes since an unknown beat were taken")
	}
	take(2, &peeringpb.SumChanges{Zones: zones, Backend: []uint32{theEngine}, BackendNumber: []uint32{3}, LoadStep: []uint32{3}, Running: []uint32{5}, Pending: []uint32{1}, Memory: []uint32{1}})
	if held := receiver.told["a"]; held == nil || held.clock != 2 || held.loads[theEngine].Running != 5 {
		t.Fatalf("%+v after a whole", held)
	}
	take(3, &peeringpb.SumChanges{Zones: zones, Base: 2, LoadStep: []uint32{4}, Running: []uint32{1, 2}, Pending: []uint32{1}, Memory: []uint32{1}})
	if held := receiver.told["a"]; held.loads[theEngine].Running != 5 || len(receiver.held([]fleet.Address{"a"}).Router) != 0 {
		t.Errorf("%+v after an unknown number", held)
	}
}

// Guards against wholes to all routers each time that sums get lost for a moment, and against
// numbers that grow without bound as accounts come and go.
func TestNumbersAreGivenAnewSeldom(t *testing.T) {
	var log sumLog
	now := boottime.Instant(time.Hour)
	renewed := 0
	const rounds, perRound = 3000, 20
	for i := range rounds {
		total := newUse(now)
		for j := range perRound {
			if i%3 != 0 {
				total.uses[fleet.Account(fmt.Sprint(i, j))] = shares.Usage{Requested: 1000, Granted: 1000}
			}
		}
		began := log.began
		log.update(total, now)
		if log.began != began {
			renewed++
		}
		if most := perRound*int(renumberPause/beatInterval) + unusedNumbers; len(log.uses) > most {
			t.Fatalf("%d numbers are given, at most %d are due", len(log.uses), most)
		}
		now = now.Add(beatInterval)
	}
	if most := rounds*int(beatInterval)/int(renumberPause) + 1; renewed > most {
		t.Errorf("numbers were given anew %d times, want %d at most", renewed, most)
	}
}

// Guards against sums that are wrong or missing while some routers run the version before:
// those send and take sums as a whole, and know nothing of changes.
func TestSumsAmongOldAndNewRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFabric(t, 3, 4)
		old := make(map[*Manager]bool)
		for _, address := range f.addresses() {
			old[f.routers[address]] = rapid.Bool().Draw(t, string(address))
		}
		for address := range f.routers {
			manager := f.routers[address]
			manager.network = &mixedLink{link: link{fabric: f, from: manager}, old: old}
		}
		f.play(settled / 2)
		f.check("among old and new routers")
		for _, router := range f.addresses() {
			old[f.routers[router]] = false
		}
		f.play(settled / 2)
		f.check("after all became new")
	})
}

// mixedLink is the link of a router in a fleet in which some don't know sums as changes.
type mixedLink struct {
	link
	old map[*Manager]bool
}

func (l *mixedLink) Send(data []byte, target fleet.Address) {
	to := l.fabric.routers[target]
	if l.old[l.from] || l.old[to] {
		var beat peeringpb.Beat
		if err := proto.Unmarshal(data, &beat); err != nil {
			l.fabric.t.Fatal(err)
		}
		if beat.SumChanges != nil && l.old[l.from] {
			l.fabric.t.Fatalf("an old router tells changes")
		}
		beat.Held, beat.SumChanges = nil, nil
		data, _ = proto.Marshal(&beat)
	}
	l.link.Send(data, target)
}

// Guards against bytes of the summing router that grow with all that is used instead of what
// changes, and against sums that are older for it.
func TestSumsOfALargeFleet(t *testing.T) {
	const (
		mostSent    = 2_000_000 // bytes a second of a summing router
		mostHeard   = 20_000    // bytes a second of sums at each other router
		mostStandby = 60_000    // the same at one that hears the sums of each other zone now and then
	)
	f, c := callFleet(t, inTwoYears)
	heard := make(map[*Manager]int)
	f.took = func(beat *peeringpb.Beat, bytes int, to *Manager) {
		if carriesSums(beat) {
			heard[to] += bytes
		}
	}
	own, others := c.spread(inTwoYears.measured)
	seconds := float64(inTwoYears.measured) * beatInterval.Seconds()
	for address, router := range f.routers {
		sums := router.traffic.since["sums own"] + router.traffic.since["sums other"]
		if sent := float64(sums) / seconds; sent > mostSent {
			t.Errorf("%s sends %.0f bytes of sums a second", address, sent)
		}
		if router.summing(f.now) {
			continue
		}
		most := mostHeard
		if len(router.sumSenders()) > 0 {
			most = mostStandby
		}
		if bytes := float64(heard[router]) / seconds; bytes > float64(most) {
			t.Errorf("%s hears %.0f bytes of sums a second", address, bytes)
		}
	}
	t.Logf("a request is known after %v in its own zone and %v in others, in the middle", own, others)
	if own > 500*time.Millisecond || others > time.Second {
		t.Errorf("a request is known after %v in its own zone and %v in others", own, others)
	}
}

// spread plays rounds after requests began at new engines, one at a router of each zone, and
// returns after how long routers of the same zone and of others know of them, in the middle.
func (c *callers) spread(rounds int) (own, others time.Duration) {
	const newEngines = 1 << 20
	began := c.fabric.now
	at := make(map[uint32]*Manager)
	for zone := range c.size.zones {
		number := zone*c.size.perZone + c.random.IntN(c.size.perZone)
		engine := uint32(newEngines + zone)
		at[engine] = c.fabric.routers[c.fabric.addresses()[number]]
		c.locals[number].add(engine, gate.BackendLoad{Running: 1, Pending: 1000, Memory: 1000})
	}
	known := make(map[string]bool)
	var took [2][]time.Duration // in the own zone, and others
	for range rounds {
		c.play(1)
		for engine, from := range at {
			for address, router := range c.fabric.routers {
				name := fmt.Sprint(address, engine)
				if router == from || known[name] || router.Load(engine).Running == 0 {
					continue
				}
				known[name] = true
				place := 1
				if router.options.Zone == from.options.Zone {
					place = 0
				}
				took[place] = append(took[place], c.fabric.now.Sub(began))
			}
		}
	}
	all := c.size.zones * (c.size.zones*c.size.perZone - 1)
	if len(known) != all {
		c.fabric.t.Errorf("%d of %d routers know of the requests", len(known), all)
	}
	return middle(took[0]), middle(took[1])
}

func middle(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}
