package settings

import "testing"

// TestRevisionThatTheOperatorHasSeen
//
// Symptom: an import or a key rotation undoes an edit that its operator never
// saw. Sequence of events: the tree is read, another edit is accepted, the
// changes that were worked out from the old tree are submitted. Cause: only the
// time of the submission is looked at, not the revision that was seen.
func TestRevisionThatTheOperatorHasSeen(t *testing.T) {
	otherKey := Change{Op: OpSet, Path: "acme", Key: "weight", After: "3"}
	sameKey := Change{Op: OpSet, Path: setWeight.Path, Key: setWeight.Key, After: "4"}
	removed := Change{Op: OpMove, Path: "acme/labs", To: "umbra/labs"}
	seen, later := uint64(1), uint64(5)
	cases := map[string]struct {
		other        Change
		base, expect *uint64
		want         Outcome
	}{
		"other key, base":          {otherKey, &seen, nil, OutcomeAccepted},
		"same key, base":           {sameKey, &seen, nil, OutcomeConflict},
		"node moved, base":         {removed, &seen, nil, OutcomeConflict},
		"other key, expect":        {otherKey, &seen, &seen, OutcomeConflict},
		"a revision yet to come":   {otherKey, nil, &later, OutcomeNotAccepted},
		"same key, nothing stated": {sameKey, nil, nil, OutcomeAccepted},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newMatrixCell(t)
			c.other(test.other)
			edit := Edit{Changes: []Change{setWeight}, BaseRevision: test.base, ExpectedRevision: test.expect}
			result := newTestEditor(c.shared.store).Submit(t.Context(), edit)
			if result.Outcome != test.want {
				t.Fatalf("outcome %s, want %s: %v", result.Outcome, test.want, result.Err)
			}
			requireTruth(t, c.shared, []Result{result})
		})
	}
}
