package knowledge

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Guards against entries of processes that have ended which count as current, just after one outage
// of the store or the second of two.
func TestProcessesAreUnknownUntilEntriesAreWrittenAgain(t *testing.T) {
	const age = time.Second
	start := boottime.Instant(time.Hour)
	at := func(seconds float64) boottime.Instant {
		return start.Add(time.Duration(seconds * float64(time.Second)))
	}
	view := &View{ListConfirmedAt: start, outageAge: age, usualAge: age}
	for _, step := range []struct{ confirmed, now, want float64 }{
		{0.9, 1, 0}, // no outage
		{2.5, 2.5, 0.9},
		{3, 4.9, 0.9},
		{5.1, 5.1, 0.9}, // another one before all entries were written again
		{6, 6.5, 0.9},
		{6.5, 7.5, 0.9},
		{7.4, 7.7, 0.9},
		{7.7, 7.8, 0}, // written again
		{7.7, 8.8, 7.7},
	} {
		view.noteOutage(at(step.confirmed), at(step.confirmed))
		view.ListConfirmedAt = at(step.confirmed)
		want := at(step.want)
		if step.want == 0 {
			want = 0
		}
		if got := view.ProcessesListedAt(at(step.now)); got != want {
			t.Errorf("confirmed %v, now %v: %v, want %v", step.confirmed, step.now, got.Sub(start), want.Sub(start))
		}
	}
}

// outagePlay is a store that is away again and again, and a backend server that starts again under its
// id meanwhile. Its times are in milliseconds.
type outagePlay struct {
	view *View
	// naive makes an entry that has changed since the last list before an outage count at once.
	naive bool

	now         int
	started     []int // by process of the server, when it started
	entry       int   // process that wrote the entry in the store
	writeAt     int   // when the current process writes its entry, if the store answers then
	listed      int   // process that wrote the listed entry
	beforeAway  int   // that of the last list before the outage
	storeBackAt int   // 0 while the store answers
}

const (
	playUsualAge  = 1240
	playOutageAge = 3000
	playTimeout   = 900  // of a call
	playRewrite   = 2000 // within which entries are written after the store's return
	playStep      = 10
)

func playInstant(ms int) boottime.Instant {
	return boottime.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond)
}

// restart replaces the server's process.
func (p *outagePlay) restart(t *rapid.T) {
	p.started = append(p.started, p.now)
	p.writeAt = p.now
	if p.storeBackAt > 0 {
		p.writeAt = p.storeBackAt + rapid.IntRange(0, playRewrite).Draw(t, "written after")
	}
}

// pass lets time pass until the given time, and returns what is wrong on the way.
func (p *outagePlay) pass(until int) error {
	for ; p.now < until; p.now += playStep {
		if p.storeBackAt == 0 && p.now >= p.writeAt {
			p.entry = len(p.started) - 1
		}
		if err := p.check(); err != nil {
			return err
		}
	}
	return nil
}

// list applies a list that was requested at the time.
func (p *outagePlay) list(requested int) {
	confirmed := playInstant(requested)
	if p.view.ListConfirmedAt >= p.view.rewrittenAt {
		p.beforeAway = p.listed
	}
	p.view.noteOutage(confirmed, playInstant(p.now))
	p.view.ListConfirmedAt = confirmed
	p.listed = p.entry
}

// check returns an error if the entry counts as that of the process that serves, and is not.
func (p *outagePlay) check() error {
	current := len(p.started) - 1
	started := playInstant(p.started[current])
	knownAt := p.view.ProcessesListedAt(playInstant(p.now))
	if p.naive && p.listed != p.beforeAway || knownAt == 0 {
		knownAt = p.view.ListConfirmedAt
	}
	if started <= knownAt && current != p.listed {
		return fmt.Errorf("at %d the entry of process %d counts, %d serves since %d", p.now, p.listed, current, p.started[current])
	}
	return nil
}

// up lets the router list the store while it answers.
func (p *outagePlay) up(t *rapid.T, lasts int) error {
	for end := p.now + lasts; p.now < end; {
		p.list(p.now)
		if err := p.pass(min(end, p.now+rapid.IntRange(10, 100).Draw(t, "list after")*playStep)); err != nil {
			return err
		}
	}
	return nil
}

// away makes the store unreachable. A call that waits for its return may succeed.
func (p *outagePlay) away(t *rapid.T, lasts int) error {
	detected := lasts >= playOutageAge+playTimeout+playStep || p.view.ListConfirmedAt < p.view.rewrittenAt
	p.storeBackAt = p.now + lasts
	if p.writeAt > p.now || p.entry != len(p.started)-1 {
		p.writeAt = p.storeBackAt + rapid.IntRange(0, playRewrite).Draw(t, "written after")
	}
	for range rapid.IntRange(0, 2).Draw(t, "restarts") {
		if err := p.pass(p.now + rapid.IntRange(0, (p.storeBackAt-p.now)/playStep).Draw(t, "restart after")*playStep); err != nil {
			return err
		}
		if detected {
			p.restart(t)
		}
	}
	if err := p.pass(p.storeBackAt); err != nil {
		return err
	}
	p.storeBackAt = 0
	if waited := rapid.IntRange(0, playTimeout/playStep).Draw(t, "call waited") * playStep; waited > 0 {
		p.list(p.now - waited)
	}
	return nil
}

// playCloseOutages plays outages that follow each other closely, some of which the router doesn't
// notice as it makes no call between two, and returns what is wrong.
func playCloseOutages(t *rapid.T, naive bool) error {
	p := &outagePlay{view: &View{outageAge: playOutageAge * time.Millisecond, usualAge: playUsualAge * time.Millisecond}, naive: naive, started: []int{0}}
	p.view.ListConfirmedAt = playInstant(0)
	for range rapid.IntRange(1, 6).Draw(t, "outages") {
		if err := p.up(t, rapid.IntRange(1, 400).Draw(t, "up")*playStep); err != nil {
			return err
		}
		if err := p.away(t, rapid.IntRange(230, 600).Draw(t, "away")*playStep); err != nil {
			return err
		}
		if rapid.Bool().Draw(t, "back unnoticed") {
			if err := p.pass(p.now + rapid.IntRange(1, 40).Draw(t, "back")*playStep); err != nil {
				return err
			}
			if err := p.away(t, rapid.IntRange(230, 600).Draw(t, "away")*playStep); err != nil {
				return err
			}
		}
	}
	return p.up(t, 5000)
}

// Guards against entries that count as those of the processes that serve, though a server has started
// again, with another version, in one of several outages of the store that follow each other closely.
func TestEntriesOfEndedProcessesDoNotCountAfterCloseOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := playCloseOutages(t, false); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against plays of close outages that accept entries which count as soon as they have changed:
// a server may have written one and started again while the store was back unnoticed.
func TestCloseOutagesShowThatChangedEntriesMayBeOutdated(t *testing.T) {
	plays := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(playCloseOutages(t, true)) })
	for seed := range 2000 {
		if plays.Example(seed) != fmt.Sprint(error(nil)) {
			return
		}
	}
	t.Error("no play shows it")
}
