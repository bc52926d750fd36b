package settings

import (
	"context"
	"testing"
)

// TestSettingsMatrix is the part of the fault matrix up to the acceptance of an
// edit: each fault begins at each step. The steps are edit (reads, validation and
// chunk objects), update (the conditional update of the head) and reply (the
// update has taken effect but its reply is lost). It guards against a reported
// outcome that contradicts the history, and against edits that silently overwrite
// one another.
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

// matrixCell is a platform with one client account and an operator whose calls may
// fail.
type matrixCell struct {
	t        *testing.T
	platform *sharedPlatform
	reads    int // of the head in the current Submit, including one in progress
	puts     int // of the head in the current Submit, including one in progress
}

var setWeight = Change{Op: OpSet, Path: "acme/labs/alice", Key: "weight", After: "7"}

func newMatrixCell(t *testing.T) *matrixCell {
	c := &matrixCell{t: t, platform: newSharedPlatform()}
	c.submitOther(Change{Op: OpCreate, Path: "acme/labs/alice"})
	return c
}

// submitOther commits another operator's edit.
func (c *matrixCell) submitOther(change Change) {
	c.t.Helper()
	direct := c.platform.withFaults(func(bool, string) fault { return faultNone })
	if result := newTestEditor(direct).Submit(context.Background(), Edit{Operator: "other", Changes: []Change{change}}); result.Outcome != OutcomeAccepted {
		c.t.Fatalf("%+v", result)
	}
}

// submit submits setWeight with faults chosen by decide, and checks the outcome
// against the history.
func (c *matrixCell) submit(want Outcome, decide func(write bool, key string) fault) Result {
	c.t.Helper()
	c.reads, c.puts = 0, 0
	editor := newTestEditor(c.platform.withFaults(func(write bool, key string) fault {
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
	requireConsistentResults(c.t, c.platform, []Result{result})
	return result
}

// requireLaterOutcome checks what OutcomeOf returns for an edit with an unknown
// outcome.
func (c *matrixCell) requireLaterOutcome(result Result, want Outcome) {
	c.t.Helper()
	reader := NewReader(c.platform.store, noWaitRetry())
	outcome, _, err := reader.OutcomeOf(context.Background(), result.ID, result.Revision)
	if outcome != want || err != nil {
		c.t.Fatalf("later outcome %s, want %s: %v", outcome, want, err)
	}
	requireConsistentResults(c.t, c.platform, []Result{result})
}

func always(happens fault) func(bool, string) fault {
	return func(bool, string) fault { return happens }
}

// faultIf returns a fault if the condition holds, and no fault otherwise.
func faultIf(holds bool, happens fault) fault {
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

// The first two reads of the head and the first two calls for each other object
// time out.
func editSlow(t *testing.T, c *matrixCell) {
	calls := make(map[string]int)
	c.submit(OutcomeAccepted, func(_ bool, key string) fault {
		calls[key]++
		return faultIf(key != HeadKey && calls[key] <= 2 || c.reads <= 2 && c.puts == 0, faultSlow)
	})
}

// Every chunk is written, but the first reply for each is lost. The second
// attempt finds the object and must not mistake it for another operator's.
func editReplyLost(t *testing.T, c *matrixCell) {
	written := make(map[string]bool)
	c.submit(OutcomeAccepted, func(write bool, key string) fault {
		first := write && key != HeadKey && !written[key]
		written[key] = true
		return faultIf(first, faultReplyLost)
	})
}

// The first read returns the tree before another operator's edit, so the update is
// rejected; the edit is then applied on top of the other.
func editStaleRead(t *testing.T, c *matrixCell) {
	c.submitOther(Change{Op: OpCreate, Path: "acme/labs/bob"})
	result := c.submit(OutcomeAccepted, func(write bool, key string) fault {
		return faultIf(!write && key == HeadKey && c.reads == 1, faultStale)
	})
	if result.Revision != 3 {
		t.Fatalf("revision %d, want 3", result.Revision)
	}
}

// Another operator's edit is accepted between the reads of the head and of the
// chunks. An edit of the same key is reported as a conflict.
func editTwoOperators(t *testing.T, c *matrixCell) {
	between := func(change Change) func(bool, string) fault {
		done := false
		return func(write bool, key string) fault {
			if key != HeadKey && !done {
				done = true
				c.submitOther(change)
			}
			return faultNone
		}
	}
	c.submit(OutcomeAccepted, between(Change{Op: OpSet, Path: "acme", Key: "weight", After: "3"}))
	c.submitOther(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	requireConflict(t, c.submit(OutcomeConflict, between(Change{Op: OpSet, Path: setWeight.Path, Key: setWeight.Key, After: "4"})), "4")
}

func requireConflict(t *testing.T, result Result, after string) {
	t.Helper()
	if len(result.Conflicts) != 1 || result.Conflicts[0].Operator != "other" || result.Conflicts[0].Changes[0].After != after {
		t.Fatalf("the result does not contain the conflicting edit: %+v", result.Conflicts)
	}
}

// The platform goes down before the update. The edit must not take effect later.
func updatePlatformDown(t *testing.T, c *matrixCell) {
	result := c.submit(OutcomeNotAccepted, func(bool, string) fault { return faultIf(c.puts > 0, faultDown) })
	c.platform.applyLateWrites()
	c.submitOther(Change{Op: OpCreate, Path: "acme/labs/bob"})
	requireConsistentResults(t, c.platform, []Result{result})
}

// The update reaches the platform after its call has timed out: first before the
// retry, then after Submit has returned.
func updateSlow(t *testing.T, c *matrixCell) {
	c.submit(OutcomeAccepted, func(write bool, key string) fault {
		if c.puts == 2 {
			c.platform.applyLateWrites()
		}
		return faultIf(write && key == HeadKey && c.puts == 1, faultLate)
	})
	c.submitOther(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	result := c.submit(OutcomeUnknown, func(write bool, key string) fault {
		if write && key == HeadKey && c.puts == 1 {
			return faultLate
		}
		return faultIf(c.puts > 0, faultDown)
	})
	c.requireLaterOutcome(result, OutcomeUnknown)
	c.platform.applyLateWrites()
	c.requireLaterOutcome(result, OutcomeAccepted)
}

// The update is lost before it reaches the platform, and is retried. If all retries
// are lost too, the outcome stays unknown until another edit gets the revision.
func updateReplyLost(t *testing.T, c *matrixCell) {
	c.submit(OutcomeAccepted, func(write bool, key string) fault {
		return faultIf(write && key == HeadKey && c.puts == 1, faultNoEffect)
	})
	c.submitOther(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	result := c.submit(OutcomeUnknown, func(write bool, key string) fault {
		return faultIf(write && key == HeadKey, faultNoEffect)
	})
	c.requireLaterOutcome(result, OutcomeUnknown)
	c.submitOther(Change{Op: OpCreate, Path: "acme/labs/bob"})
	c.requireLaterOutcome(result, OutcomeNotAccepted)
}

// The update is rejected because another operator's edit came first, and the
// following reads still return the old tree.
func updateStaleRead(t *testing.T, c *matrixCell) {
	c.submit(OutcomeAccepted, func(write bool, key string) fault {
		if write && key == HeadKey && c.puts == 1 {
			c.submitOther(Change{Op: OpCreate, Path: "acme/labs/bob"})
		}
		return faultIf(!write && key == HeadKey && c.puts == 1 && c.reads <= 3, faultStale)
	})
	c.submitOther(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	c.submit(OutcomeNotAccepted, func(write bool, key string) fault {
		if write && key == HeadKey && c.puts == 1 {
			c.submitOther(Change{Op: OpCreate, Path: "acme/labs/carol"})
		}
		return faultIf(!write && key == HeadKey && c.puts == 1, faultStale)
	})
}

// Another operator's edit is accepted just before the update.
func updateTwoOperators(t *testing.T, c *matrixCell) {
	before := func(change Change) func(bool, string) fault {
		return func(write bool, key string) fault {
			if write && key == HeadKey && c.puts == 1 {
				c.submitOther(change)
			}
			return faultNone
		}
	}
	c.submit(OutcomeAccepted, before(Change{Op: OpSet, Path: "acme", Key: "weight", After: "3"}))
	c.submitOther(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	requireConflict(t, c.submit(OutcomeConflict, before(Change{Op: OpSet, Path: setWeight.Path, Key: setWeight.Key, After: "4"})), "4")
}

// loseReplyThen loses the reply to the first update, which takes effect; next
// chooses the faults of all later calls.
func (c *matrixCell) loseReplyThen(next func(write bool, key string) fault) func(bool, string) fault {
	lost := false
	return func(write bool, key string) fault {
		if lost {
			return next(write, key)
		}
		lost = write && key == HeadKey
		return faultIf(lost, faultReplyLost)
	}
}

// The platform goes down immediately after the update took effect.
func replyPlatformDown(t *testing.T, c *matrixCell) {
	c.requireLaterOutcome(c.submit(OutcomeUnknown, c.loseReplyThen(always(faultDown))), OutcomeAccepted)
}

// The first two calls after the lost reply time out.
func replySlow(t *testing.T, c *matrixCell) {
	calls := 0
	c.submit(OutcomeAccepted, c.loseReplyThen(func(bool, string) fault {
		calls++
		return faultIf(calls <= 2, faultSlow)
	}))
}

// The reply to the repeated update is lost too.
func replyReplyLost(t *testing.T, c *matrixCell) {
	c.submit(OutcomeAccepted, c.loseReplyThen(func(write bool, key string) fault {
		return faultIf(write && key == HeadKey && c.puts == 2, faultReplyLost)
	}))
}

// The reads after the update return the state before it. This must not be taken as
// proof that the edit was not accepted.
func replyStaleRead(t *testing.T, c *matrixCell) {
	reads := 0
	c.submit(OutcomeAccepted, c.loseReplyThen(func(write bool, key string) fault {
		reads++
		return faultIf(!write && reads <= 3, faultStale)
	}))
	c.submitOther(Change{Op: OpUnset, Path: setWeight.Path, Key: setWeight.Key})
	result := c.submit(OutcomeUnknown, c.loseReplyThen(func(write bool, key string) fault { return faultIf(!write, faultStale) }))
	c.requireLaterOutcome(result, OutcomeAccepted)
}

// Before the outcome is resolved, so many other edits are accepted that this edit
// has moved to an audit object; one of them changes the same key. The edit is
// still reported as accepted.
func replyTwoOperators(t *testing.T, c *matrixCell) {
	done := false
	result := c.submit(OutcomeAccepted, c.loseReplyThen(func(bool, string) fault {
		if !done {
			done = true
			c.submitOther(Change{Op: OpSet, Path: setWeight.Path, Key: setWeight.Key, After: "4"})
			for _, name := range []Path{"b", "c", "d", "e", "f", "g"} {
				c.submitOther(Change{Op: OpCreate, Path: "acme/labs/" + name})
			}
		}
		return faultNone
	}))
	head, _, err := NewReader(c.platform.store, noWaitRetry()).ReadHead(context.Background(), 0)
	if err != nil || head.AuditedRevision < result.Revision {
		t.Fatalf("the edit has not moved to an audit object: audited up to revision %d, edit has revision %d, %v", head.AuditedRevision, result.Revision, err)
	}
}
