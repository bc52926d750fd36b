package settings

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestOperatorsAndFaults draws interleavings of the calls of several operators, with
// a fault at any call: rejected, lost, late or answered with a stale state. It
// guards against edits that are reported as failed but take effect, two edits with
// the same revision, and accepted edits that are missing from the history. They can
// result from trusting a single reply, or from an order of writes that leaves a gap.
func TestOperatorsAndFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := newOperatorSchedule(t)
		results := schedule.run()
		schedule.shared.applyLateWrites()
		requireConsistentResults(t, schedule.shared, results)
	})
}

// operatorSchedule runs operators whose calls wait for a decision of the test, so
// that only one operator runs at a time and the test is deterministic.
type operatorSchedule struct {
	t         *rapid.T
	shared    *sharedPlatform
	operators []*operator
}

type operator struct {
	number    int
	crashed   bool
	calls     chan call       // the next call; closed at the end
	decisions chan fault      // the fault of that call
	edits     []Edit          // to submit in this order
	results   map[int]*Result // by index in edits
}

type call struct {
	write bool
	key   string
}

func newOperatorSchedule(t *rapid.T) *operatorSchedule {
	s := &operatorSchedule{t: t, shared: newSharedPlatform()}
	first := newTestEditor(s.shared.store).Submit(context.Background(), Edit{
		Operator: "first",
		Changes:  []Change{{Op: OpCreate, Path: "acme/labs/alice"}, {Op: OpCreate, Path: "acme/labs/bob"}},
	})
	if first.Outcome != OutcomeAccepted {
		t.Fatalf("%+v", first)
	}
	for number := range rapid.IntRange(1, 3).Draw(t, "operators") {
		operator := &operator{number: number, calls: make(chan call), decisions: make(chan fault), results: make(map[int]*Result)}
		for i := range rapid.IntRange(1, 6).Draw(t, "edits") {
			operator.edits = append(operator.edits, Edit{
				Operator: fmt.Sprint(number), Changes: []Change{drawEdit(t, number, i)},
			})
		}
		s.operators = append(s.operators, operator)
	}
	return s
}

// drawEdit draws an edit whose value differs from that of all others, so that it
// always changes something.
func drawEdit(t *rapid.T, operator, index int) Change {
	path := rapid.SampledFrom([]Path{"acme", "acme/labs/alice", "acme/labs/bob"}).Draw(t, "path")
	key := rapid.SampledFrom([]KeyName{"weight", "queue_requests"}).Draw(t, "key")
	return Change{Op: OpSet, Path: path, Key: key, After: fmt.Sprint(2 + operator*10 + index)}
}

func (s *operatorSchedule) run() []Result {
	running := make([]*operator, 0, len(s.operators))
	for _, operator := range s.operators {
		go operator.submitAll(s.shared)
		running = append(running, operator)
	}
	waiting := make(map[*operator]call)
	for {
		running = slices.DeleteFunc(running, func(o *operator) bool { return !s.await(o, waiting) })
		if len(running) == 0 {
			break
		}
		next := rapid.SampledFrom(running).Draw(s.t, "operator")
		decision := s.drawFault(next, waiting[next])
		delete(waiting, next)
		next.decisions <- decision
	}
	var results []Result
	for _, operator := range s.operators {
		for _, result := range operator.results {
			results = append(results, *result)
		}
	}
	return results
}

// await waits for an operator's next call. It returns false when the operator has
// finished.
func (s *operatorSchedule) await(o *operator, waiting map[*operator]call) bool {
	if _, ok := waiting[o]; ok {
		return true
	}
	next, ok := <-o.calls
	if ok {
		waiting[o] = next
	}
	return ok
}

func (s *operatorSchedule) drawFault(o *operator, next call) fault {
	if o.crashed {
		return faultDown
	}
	if len(s.shared.lateWrites) > 0 && rapid.IntRange(0, 3).Draw(s.t, "late writes arrive") == 0 {
		s.shared.applyLateWrites()
	}
	// Most calls succeed; otherwise no edit would get past its first steps.
	faults := []fault{faultNone, faultNone, faultNone, faultNone, faultNone, faultNone, faultDown, faultStale}
	if next.write {
		faults = []fault{faultNone, faultNone, faultNone, faultNone, faultDown, faultReplyLost, faultReplyLost, faultNoEffect, faultLate}
	}
	drawn := rapid.SampledFrom(faults).Draw(s.t, "fault")
	o.crashed = rapid.IntRange(0, 99).Draw(s.t, "crash") == 57
	return drawn
}

func (o *operator) submitAll(shared *sharedPlatform) {
	defer close(o.calls)
	editor := newTestEditor(shared.withFaults(func(write bool, key string) fault {
		o.calls <- call{write: write, key: key}
		return <-o.decisions
	}))
	// Different versions of the program may move different numbers of edits.
	editor.reader.limits.maxRecent += o.number
	for i, edit := range o.edits {
		result := editor.Submit(context.Background(), edit)
		o.results[i] = &result
	}
}

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// requireConsistentResults checks that the history is consistent with the tree and
// with the results that the operators got.
func requireConsistentResults(t fataler, shared *sharedPlatform, results []Result) {
	records, err := shared.history()
	if err != nil {
		t.Fatal(err)
	}
	replayed := NewTree()
	for i, record := range records {
		if record.Revision != uint64(i)+1 {
			t.Fatalf("revision %d follows revision %d", record.Revision, i)
		}
		next, changes, err := replayed.Apply(record.Changes)
		if err != nil || fmt.Sprint(changes) != fmt.Sprint(record.Changes) {
			t.Fatalf("revision %d: recorded %v, replayed %v: %v", record.Revision, record.Changes, changes, err)
		}
		replayed = next
	}
	snapshot, err := NewReader(shared.store, noWaitRetry()).Read(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if !snapshot.Tree.Equal(replayed) {
		t.Fatalf("tree:\n%s\nreplayed history:\n%s", FormatINI(snapshot.Tree), FormatINI(replayed))
	}
	for _, result := range results {
		requireConsistentResult(t, shared, records, result)
	}
}

func requireConsistentResult(t fataler, shared *sharedPlatform, records []Record, result Result) {
	occurrences := countRecords(records, result.ID)
	switch result.Outcome {
	case OutcomeAccepted:
		if occurrences != 1 || records[result.Revision-1].ID != result.ID {
			t.Fatalf("accepted as revision %d, but %d times in the history", result.Revision, occurrences)
		}
	case OutcomeConflict:
		if occurrences != 0 || len(result.Conflicts) == 0 {
			t.Fatalf("conflict with %d edits, but %d times in the history", len(result.Conflicts), occurrences)
		}
	case OutcomeNotAccepted:
		if occurrences != 0 {
			t.Fatalf("not accepted (%v), but %d times in the history", result.Err, occurrences)
		}
	case OutcomeUnknown:
		later, _, err := NewReader(shared.store, noWaitRetry()).OutcomeOf(context.Background(), result.ID, result.Revision)
		if err != nil || occurrences > 1 || (later == OutcomeAccepted) != (occurrences == 1) {
			t.Fatalf("%d times in the history, later found %s: %v", occurrences, later, err)
		}
	}
}

// TestChunkCountIsBounded guards against chunks that exceed the platform's size
// limit because they aren't split as the tree grows, and against edits that exhaust
// memory because splitting never ends.
func TestChunkCountIsBounded(t *testing.T) {
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
	for i, ref := range head.Chunks {
		if ref != refs[i] {
			changed++
		}
	}
	if changed != 1 {
		t.Fatalf("an edit of one value rewrote %d chunks", changed)
	}
}
