package settings

import (
	"context"
	"testing"
)

// TestSettingsMatrix is the part of the fault matrix that concerns an edit until
// it is accepted: each fault begins at each step. The steps are edit (reads,
// checks and chunk objects), update (the conditional update of the head) and
// reply (the update has taken effect, its reply is lost).
//
// Symptom of a failure: an operator is told that an edit was accepted or not,
// and the history says otherwise; or two edits hide one another.
func TestSettingsMatrix(t *testing.T) {
	steps := []struct {
		name  string
		cells map[string]func(t *testing.T, c *matrixCell)
	}{
		{"edit", map[string]func(*testing.T, *matrixCell){
			"platform-down": editPlatformDown,
			"slow":          editSlow,
			"reply-lost":    editReplyLost,
			"stale-read":    editStaleRead,
			"two-operators": editTwoOperators,
		}},
		{"update", map[string]func(*testing.T, *matrixCell){
			"platform-down": updatePlatformDown,
			"slow":          updateSlow,
			"reply-lost":    updateReplyLost,
			"stale-read":    updateStaleRead,
			"two-operators": updateTwoOperators,
		}},
		{"reply", map[string]func(*testing.T, *matrixCell){
			"platform-down": replyPlatformDown,
			"slow":          replySlow,
			"reply-lost":    replyReplyLost,
			"stale-read":    replyStaleRead,
			"two-operators": replyTwoOperators,
		}},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			for name, run := range step.cells {
				t.Run(name, func(t *testing.T) { run(t, newMatrixCell(t)) })
			}
		})
	}
}

// matrixCell is a platform with one account and an operator whose calls may
// fail.
type matrixCell struct {
	t      *testing.T
	shared *sharedPlatform
	reads  int // of the head by the operator
	puts   int // of the head by the operator, with the present one
}

var setWeight = Change{Op: OpSet, Path: "acme/labs/alice", Key: "weight", After: "7"}

func newMatrixCell(t *testing.T) *matrixCell {
	c := &matrixCell{t: t, shared: newSharedPlatform()}
	c.other(Change{Op: OpCreate, Path: "acme/labs/alice"})
	return c
}

// other has another operator's edit accepted.
func (c *matrixCell) other(change Change) {
	c.t.Helper()
	direct := c.shared.gate(func(bool, string) fault { return faultNone })
	if result := newTestEditor(direct).Submit(context.Background(), Edit{Operator: "other", Changes: []Change{change}}); result.Outcome != OutcomeAccepted {
		c.t.Fatalf("%+v", result)
	}
}

// submit sets a weight while decide chooses the faults; it then checks the
// outcome against the history.
func (c *matrixCell) submit(want Outcome, decide func(write bool, key string) fault) Result {
	c.t.Helper()
	c.reads, c.puts = 0, 0
	editor := newTestEditor(c.shared.gate(func(write bool, key string) fault {
		if key == HeadKey && write {
			c.puts++
		}
		if key == HeadKey && !write {
			c.reads++
		}
		return decide(write, key)
	}))
	result := editor.Submit(context.Background(), Edit{Operator: "alice", Changes: []Change{setWeight}})
	if result.Outcome != want {
		c.t.Fatalf("outcome %s, want %s: %v", result.Outcome, want, result.Err)
	}
	requireTruth(c.t, c.shared, []Result{result})
	return result
}

// later reads what became of an edit whose outcome was unknown.
func (c *matrixCell) later(result Result, want Outcome) {
	c.t.Helper()
	reader := NewReader(c.shared.store, quickRetry())
	outcome, _, err := reader.OutcomeOf(context.Background(), result.ID, result.Revision)
	if outcome != want || err != nil {
		c.t.Fatalf("later outcome %s, want %s: %v", outcome, want, err)
	}
	requireTruth(c.t, c.shared, []Result{result})
}

func always(happens fault) func(bool, string) fault {
	return func(bool, string) fault { return happens }
}

// when returns a fault if it holds and none otherwise.
func when(holds bool, happens fault) fault {
	if holds {
		return happens
	}
	return faultNone
}

// The platform is down from the first read on.
func editPlatformDown(t *testing.T, c *matrixCell) {
	c.submit(OutcomeNotAccepted, always(faultDown))
	c.submit(OutcomeAccepted, always(faultNone))
}

// The first two calls of each kind come to nothing in time.
func editSlow(t *testing.T, c *matrixCell) {
	calls := make(map[string]int)
	c.submit(OutcomeAccepted, func(_ bool, key string) fault {
		calls[key]++
		return when(key != HeadKey && calls[key] <= 2 || c.reads <= 2 && c.puts == 0, faultSlow)
	})
}

// Every chunk is written, but the first reply for each is lost. The second
// attempt finds the object and must not take it for another operator's.
func editReplyLost(t *testing.T, c *matrixCell) {
	written := make(map[string]bool)
	c.submit(OutcomeAccepted, func(write bool, key string) fault {
		first := write && key != HeadKey && !written[key]
		written[key] = true
		return when(first, faultReplyLost)
	})
}

// The first read gives the tree before another operator's edit, so the update
// is refused; the edit then goes on top.
func editStaleRead(t *testing.T, c *matrixCell) {
	c.other(Change{Op: OpCreate, Path: "acme/labs/bob"})
	result := c.submit(OutcomeAccepted, func(write bool, key string) fault {
		return when(!write && key == HeadKey && c.reads == 1, faultStale)
	})
	if result.Revision != 3 {
		t.Fatalf("revision %d, want 3", result.Revision)
	}
}

// Another operator's edit is accepted between the read of the head and the
// chunks. One that touches the same key is shown as a conflict.
func editTwoOperators(t *testing.T, c *matrixCell) {
	between := func(change Change) func(bool, string) fault {
		done := false
		return func(write bool, key string) fault {
			if key != HeadKey && !done {
				done = true
				c.other(change)
			}
			return faultNone
		}
	}
	c.submit(OutcomeAccepted, between(Change{Op: OpSet, Path: "acme", Key: "weight", After: "3"}))
	c.other(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	requireConflictWith(t, c.submit(OutcomeConflict, between(Change{Op: OpSet, Path: setWeight.Path, Key: setWeight.Key, After: "4"})), "4")
}

func requireConflictWith(t *testing.T, result Result, after string) {
	t.Helper()
	if len(result.Conflicts) != 1 || result.Conflicts[0].Operator != "other" || result.Conflicts[0].Changes[0].After != after {
		t.Fatalf("the conflict does not show the other edit: %+v", result.Conflicts)
	}
}

// The platform goes down before the update. The edit must not come up later.
func updatePlatformDown(t *testing.T, c *matrixCell) {
	result := c.submit(OutcomeNotAccepted, func(bool, string) fault { return when(c.puts > 0, faultDown) })
	c.shared.applyLate()
	c.other(Change{Op: OpCreate, Path: "acme/labs/bob"})
	requireTruth(t, c.shared, []Result{result})
}

// The update reaches the platform after the operator's client has given up, once
// before it is repeated and once after the operator has gone.
func updateSlow(t *testing.T, c *matrixCell) {
	c.submit(OutcomeAccepted, func(write bool, key string) fault {
		if c.puts == 2 {
			c.shared.applyLate()
		}
		return when(write && key == HeadKey && c.puts == 1, faultLate)
	})
	c.other(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	result := c.submit(OutcomeUnknown, func(write bool, key string) fault {
		if write && key == HeadKey && c.puts == 1 {
			return faultLate
		}
		return when(c.puts > 0, faultDown)
	})
	c.later(result, OutcomeUnknown)
	c.shared.applyLate()
	c.later(result, OutcomeAccepted)
}

// The update is lost on its way. It is repeated; if it can't be, the outcome
// stays unknown until another edit takes the revision.
func updateReplyLost(t *testing.T, c *matrixCell) {
	c.submit(OutcomeAccepted, func(write bool, key string) fault {
		return when(write && key == HeadKey && c.puts == 1, faultNoEffect)
	})
	c.other(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	result := c.submit(OutcomeUnknown, func(write bool, key string) fault {
		return when(write && key == HeadKey, faultNoEffect)
	})
	c.later(result, OutcomeUnknown)
	c.other(Change{Op: OpCreate, Path: "acme/labs/bob"})
	c.later(result, OutcomeNotAccepted)
}

// The update is refused because another operator came first, and the reads that
// follow still give the old tree.
func updateStaleRead(t *testing.T, c *matrixCell) {
	c.submit(OutcomeAccepted, func(write bool, key string) fault {
		if write && key == HeadKey && c.puts == 1 {
			c.other(Change{Op: OpCreate, Path: "acme/labs/bob"})
		}
		return when(!write && key == HeadKey && c.puts == 1 && c.reads <= 3, faultStale)
	})
	c.other(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	c.submit(OutcomeNotAccepted, func(write bool, key string) fault {
		if write && key == HeadKey && c.puts == 1 {
			c.other(Change{Op: OpCreate, Path: "acme/labs/carol"})
		}
		return when(!write && key == HeadKey && c.puts == 1, faultStale)
	})
}

// Another operator's edit is accepted just before the update.
func updateTwoOperators(t *testing.T, c *matrixCell) {
	before := func(change Change) func(bool, string) fault {
		return func(write bool, key string) fault {
			if write && key == HeadKey && c.puts == 1 {
				c.other(change)
			}
			return faultNone
		}
	}
	c.submit(OutcomeAccepted, before(Change{Op: OpSet, Path: "acme", Key: "weight", After: "3"}))
	c.other(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	requireConflictWith(t, c.submit(OutcomeConflict, before(Change{Op: OpSet, Path: setWeight.Path, Key: setWeight.Key, After: "4"})), "4")
}

// replyLostThen loses the reply of the first update, which takes effect; next
// chooses the faults from then on.
func (c *matrixCell) replyLostThen(next func(write bool, key string) fault) func(bool, string) fault {
	lost := false
	return func(write bool, key string) fault {
		if lost {
			return next(write, key)
		}
		lost = write && key == HeadKey
		return when(lost, faultReplyLost)
	}
}

// The platform goes down right after the update took effect.
func replyPlatformDown(t *testing.T, c *matrixCell) {
	c.later(c.submit(OutcomeUnknown, c.replyLostThen(always(faultDown))), OutcomeAccepted)
}

// The calls that clear the outcome come to nothing in time at first.
func replySlow(t *testing.T, c *matrixCell) {
	calls := 0
	c.submit(OutcomeAccepted, c.replyLostThen(func(bool, string) fault {
		calls++
		return when(calls <= 2, faultSlow)
	}))
}

// The reply to the repeated update is lost too.
func replyReplyLost(t *testing.T, c *matrixCell) {
	c.submit(OutcomeAccepted, c.replyLostThen(func(write bool, key string) fault {
		return when(write && key == HeadKey && c.puts == 2, faultReplyLost)
	}))
}

// Reading back gives the tree before the update. This must not be taken for
// proof that the edit is absent.
func replyStaleRead(t *testing.T, c *matrixCell) {
	reads := 0
	c.submit(OutcomeAccepted, c.replyLostThen(func(write bool, key string) fault {
		reads++
		return when(!write && reads <= 3, faultStale)
	}))
	c.other(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	result := c.submit(OutcomeUnknown, c.replyLostThen(func(write bool, key string) fault { return when(!write, faultStale) }))
	c.later(result, OutcomeAccepted)
}

// Other operators' edits come on top before the outcome is cleared, so many
// that the edit has moved to an audit object, and one of them changes the same
// key. The edit was accepted all the same.
func replyTwoOperators(t *testing.T, c *matrixCell) {
	done := false
	result := c.submit(OutcomeAccepted, c.replyLostThen(func(bool, string) fault {
		if !done {
			done = true
			c.other(Change{Op: OpSet, Path: setWeight.Path, Key: setWeight.Key, After: "4"})
			for _, name := range []Path{"b", "c", "d", "e", "f", "g"} {
				c.other(Change{Op: OpCreate, Path: "acme/labs/" + name})
			}
		}
		return faultNone
	}))
	head, _, err := NewReader(c.shared.store, quickRetry()).ReadHead(context.Background(), 0)
	if err != nil || head.AuditedRevision < result.Revision {
		t.Fatalf("the edit has not moved to an audit object: audited to %d, revision %d, %v", head.AuditedRevision, result.Revision, err)
	}
}
