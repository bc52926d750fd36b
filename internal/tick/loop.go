// Package tick implements an event loop around a deterministic state machine. A
// World holds its state in tables, and at each tick its systems process the tables
// in a fixed order. A World does no I/O and reads no clock, so that a test can
// drop, delay, duplicate or reorder any input.
package tick

import (
	"context"
	"time"
)

// MaxBatch is the maximum number of inputs per tick. It bounds the time between two
// ticks while inputs arrive faster than they are processed.
const MaxBatch = 256

// World is a state machine: the state of a role and the rules that change it. I is
// the type of its inputs (events), O the type of its outputs (commands).
type World[I, O any] interface {
	// Step applies the inputs in order, runs every system once and returns the
	// commands. It is called again when an input arrives or at next, whichever
	// comes first. If next is zero, it is called again only for an input.
	Step(now time.Time, inputs []I) (outputs []O, next time.Time)
}

// Loop runs a World in a single goroutine. An input starts a tick immediately, so
// the loop adds no latency.
type Loop[I, O any] struct {
	world   World[I, O]
	execute func(O)
	inputs  chan I
	done    chan struct{}
	now     func() time.Time
}

// NewLoop returns a Loop for the world. The loop's goroutine calls execute for each
// command; execute must not block. queue is the number of inputs that are buffered
// before Send blocks.
func NewLoop[I, O any](world World[I, O], queue int, execute func(O)) *Loop[I, O] {
	return &Loop[I, O]{
		world:   world,
		execute: execute,
		inputs:  make(chan I, queue),
		done:    make(chan struct{}),
		now:     time.Now,
	}
}

// Send queues an input for the world. It blocks while the queue is full and
// returns false once the loop has ended.
func (l *Loop[I, O]) Send(input I) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.inputs <- input:
		return true
	case <-l.done:
		return false
	}
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop[I, O]) Done() <-chan struct{} { return l.done }

// Run steps the world until the context ends.
func (l *Loop[I, O]) Run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]I, 0, MaxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case input := <-l.inputs:
			batch = l.takeQueued(append(batch, input))
		case <-timer.C:
		}
		now := l.now()
		outputs, next := l.world.Step(now, batch)
		for _, output := range outputs {
			l.execute(output)
		}
		timer.Stop()
		if !next.IsZero() {
			timer.Reset(max(0, next.Sub(now)))
		}
	}
}

// takeQueued appends the queued inputs to the batch, up to MaxBatch.
func (l *Loop[I, O]) takeQueued(batch []I) []I {
	for len(batch) < MaxBatch {
		select {
		case input := <-l.inputs:
			batch = append(batch, input)
		default:
			return batch
		}
	}
	return batch
}

// System is one rule that is applied to a world's tables at each tick.
type System[W any] struct {
	Name string
	Run  func(world W, now time.Time)
}

// Table maps keys to the entities of one kind. Use NewTable; the zero value isn't
// usable.
type Table[K comparable, V any] struct {
	rows map[K]*V
}

// NewTable returns an empty table.
func NewTable[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]*V)}
}

// Get returns the row of a key, or nil if there is none.
func (t *Table[K, V]) Get(key K) *V { return t.rows[key] }

// Put stores a row and replaces an existing one with the same key.
func (t *Table[K, V]) Put(key K, row *V) { t.rows[key] = row }

// GetOrCreate returns the row of a key, and creates and stores it if there is none.
func (t *Table[K, V]) GetOrCreate(key K, create func() *V) *V {
	row, ok := t.rows[key]
	if !ok {
		row = create()
		t.rows[key] = row
	}
	return row
}

// Delete removes the row of a key.
func (t *Table[K, V]) Delete(key K) { delete(t.rows, key) }

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Each calls visit for every row, in no particular order. visit may delete the
// row that it is called with.
func (t *Table[K, V]) Each(visit func(key K, row *V)) {
	for key, row := range t.rows {
		visit(key, row)
	}
}
