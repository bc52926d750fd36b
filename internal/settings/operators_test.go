package settings

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestOperatorsAndFaults draws interleavings of several operators' edits, call
// by call, with a fault at any of the calls.
//
// Symptom: an operator is told that an edit failed, and the fleet follows it;
// or two edits get the same revision; or an accepted edit is missing from the
// history. Sequence of events: any calls of any operators in any order, each
// of them refused, lost, late or answered from an old state. Cause: a decision
// that trusts one reply, or an order of writes that leaves a gap.
func TestOperatorsAndFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		race := newRace(t)
		results := race.run()
		race.shared.applyLate()
		requireTruth(t, race.shared, results)
	})
}

// race runs operators whose calls wait for the test's decision, so that only
// one operator runs at a time and each run of the test is the same.
type race struct {
	t         *rapid.T
	shared    *sharedPlatform
	operators []*operator
}

type operator struct {
	number  int
	crashed bool
	asks    chan call       // the next call, or closed at the end
	answers chan fault      // the decision about it
	edits   []Edit          // to submit, one after the other
	results map[int]*Result // by place in edits
}

type call struct {
	write bool
	key   string
}

func newRace(t *rapid.T) *race {
	r := &race{t: t, shared: newSharedPlatform()}
	first := newTestEditor(r.shared.store).Submit(context.Background(), Edit{
		Operator: "first",
		Changes:  []Change{{Op: OpCreate, Path: "acme/labs/alice"}, {Op: OpCreate, Path: "acme/labs/bob"}},
	})
	if first.Outcome != OutcomeAccepted {
		t.Fatalf("%+v", first)
	}
	for number := range rapid.IntRange(1, 3).Draw(t, "operators") {
		operator := &operator{number: number, asks: make(chan call), answers: make(chan fault), results: make(map[int]*Result)}
		for place := range rapid.IntRange(1, 6).Draw(t, "edits") {
			operator.edits = append(operator.edits, Edit{
				Operator: fmt.Sprint(number), Changes: []Change{drawEdit(t, number, place)},
			})
		}
		r.operators = append(r.operators, operator)
	}
	return r
}

// drawEdit draws an edit that is unlike all others, so that each one changes
// something.
func drawEdit(t *rapid.T, operator, place int) Change {
	path := rapid.SampledFrom([]Path{"acme", "acme/labs/alice", "acme/labs/bob"}).Draw(t, "path")
	key := rapid.SampledFrom([]KeyName{"weight", "queue_requests"}).Draw(t, "key")
	return Change{Op: OpSet, Path: path, Key: key, After: fmt.Sprint(2 + operator*10 + place)}
}

func (r *race) run() []Result {
	running := make([]*operator, 0, len(r.operators))
	for _, operator := range r.operators {
		go operator.submitAll(r.shared)
		running = append(running, operator)
	}
	waiting := make(map[*operator]call)
	for {
		running = slices.DeleteFunc(running, func(o *operator) bool { return !r.await(o, waiting) })
		if len(running) == 0 {
			break
		}
		next := rapid.SampledFrom(running).Draw(r.t, "operator")
		decision := r.drawFault(next, waiting[next])
		delete(waiting, next)
		next.answers <- decision
	}
	var results []Result
	for _, operator := range r.operators {
		for _, result := range operator.results {
			results = append(results, *result)
		}
	}
	return results
}

// await waits until an operator is at its next call; false is its end.
func (r *race) await(o *operator, waiting map[*operator]call) bool {
	if _, ok := waiting[o]; ok {
		return true
	}
	next, ok := <-o.asks
	if ok {
		waiting[o] = next
	}
	return ok
}

func (r *race) drawFault(o *operator, next call) fault {
	if o.crashed {
		return faultDown
	}
	if len(r.shared.late) > 0 && rapid.IntRange(0, 3).Draw(r.t, "late writes arrive") == 0 {
		r.shared.applyLate()
	}
	// Most calls go well; else no edit would get past its first steps.
	faults := []fault{faultNone, faultNone, faultNone, faultNone, faultNone, faultNone, faultDown, faultStale}
	if next.write {
		faults = []fault{faultNone, faultNone, faultNone, faultNone, faultDown, faultReplyLost, faultReplyLost, faultNoEffect, faultLate}
	}
	drawn := rapid.SampledFrom(faults).Draw(r.t, "fault")
	o.crashed = rapid.IntRange(0, 99).Draw(r.t, "crash") == 57
	return drawn
}

func (o *operator) submitAll(shared *sharedPlatform) {
	defer close(o.asks)
	editor := newTestEditor(shared.gate(func(write bool, key string) fault {
		o.asks <- call{write: write, key: key}
		return <-o.answers
	}))
	// Operators with programs of two versions may move different numbers of edits.
	editor.reader.limits.maxRecent += o.number
	for place, edit := range o.edits {
		result := editor.Submit(context.Background(), edit)
		o.results[place] = &result
	}
}

// fataler is what testing.T and rapid.T have in common here.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// requireTruth checks the history and what the operators were told.
func requireTruth(t fataler, shared *sharedPlatform, results []Result) {
	records, err := shared.history()
	if err != nil {
		t.Fatal(err)
	}
	replayed := NewTree()
	for place, record := range records {
		if record.Revision != uint64(place)+1 {
			t.Fatalf("revision %d follows revision %d", record.Revision, place)
		}
		next, changes, err := replayed.Apply(record.Changes)
		if err != nil || fmt.Sprint(changes) != fmt.Sprint(record.Changes) {
			t.Fatalf("revision %d: recorded %v, replayed %v: %v", record.Revision, record.Changes, changes, err)
		}
		replayed = next
	}
	snapshot, err := NewReader(shared.store, quickRetry()).Read(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if !snapshot.Tree.Equal(replayed) {
		t.Fatalf("tree:\n%s\nreplayed history:\n%s", FormatINI(snapshot.Tree), FormatINI(replayed))
	}
	for _, result := range results {
		requireTrueResult(t, shared, records, result)
	}
}

func requireTrueResult(t fataler, shared *sharedPlatform, records []Record, result Result) {
	times := count(records, result.ID)
	switch result.Outcome {
	case OutcomeAccepted:
		if times != 1 || records[result.Revision-1].ID != result.ID {
			t.Fatalf("accepted as revision %d, but %d times in the history", result.Revision, times)
		}
	case OutcomeConflict:
		if times != 0 || len(result.Conflicts) == 0 {
			t.Fatalf("conflict with %d edits, but %d times in the history", len(result.Conflicts), times)
		}
	case OutcomeNotAccepted:
		if times != 0 {
			t.Fatalf("not accepted (%v), but %d times in the history", result.Err, times)
		}
	case OutcomeUnknown:
		later, _, err := NewReader(shared.store, quickRetry()).OutcomeOf(context.Background(), result.ID, result.Revision)
		if err != nil || times > 1 || (later == OutcomeAccepted) != (times == 1) {
			t.Fatalf("%d times in the history, later found %s: %v", times, later, err)
		}
	}
}

// TestChunksSplitAndStop
//
// Symptom: an edit never ends and takes all memory, or an object is larger than
// the platform holds. Sequence of events: the tree grows, or one node does.
// Cause: chunks that do not split, or that split for ever.
func TestChunksSplitAndStop(t *testing.T) {
	shared := newSharedPlatform()
	editor := newTestEditor(shared.store)
	var changes []Change
	for number := range 100 {
		changes = append(changes, Change{Op: OpCreate, Path: Path(fmt.Sprintf("acme/labs/n%d", number)), Settings: []Setting{{"weight", fmt.Sprint(number + 1)}}})
	}
	if result := editor.Submit(t.Context(), Edit{Changes: changes}); result.Outcome != OutcomeAccepted {
		t.Fatalf("%+v", result)
	}
	snapshot, err := editor.Reader().Read(t.Context(), 0)
	if err != nil || len(snapshot.Head.Chunks) != smallLimits.maxChunks || len(snapshot.Tree.Paths()) != 104 {
		t.Fatalf("%d chunks, %d nodes: %v", len(snapshot.Head.Chunks), len(snapshot.Tree.Paths()), err)
	}
	one := Change{Op: OpSet, Path: "acme/labs/n7", Key: "weight", After: "200"}
	refs := snapshot.Head.Chunks
	if result := editor.Submit(t.Context(), Edit{Changes: []Change{one}}); result.Outcome != OutcomeAccepted {
		t.Fatalf("%+v", result)
	}
	head, _, err := editor.Reader().ReadHead(t.Context(), 0)
	if err != nil || len(head.Chunks) != len(refs) {
		t.Fatalf("%d chunks: %v", len(head.Chunks), err)
	}
	changed := 0
	for place, ref := range head.Chunks {
		if ref != refs[place] {
			changed++
		}
	}
	if changed != 1 {
		t.Fatalf("an edit of one value rewrote %d chunks", changed)
	}
}
