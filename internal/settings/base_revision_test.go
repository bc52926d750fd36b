package settings

import "testing"

// TestSubmitChecksRevisionSeenByOperator guards against an import or a key rotation
// that undoes an edit which its operator never saw. That happens if another edit is
// accepted after the tree was read, and Submit only looks for conflicts since its
// own start instead of since the revision that the changes were computed from.
func TestSubmitChecksRevisionSeenByOperator(t *testing.T) {
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
			c.submitOther(test.other)
			edit := Edit{Changes: []Change{setWeight}, BaseRevision: test.base, ExpectedRevision: test.expect}
			result := newTestEditor(c.platform.store).Submit(t.Context(), edit)
			if result.Outcome != test.want {
				t.Fatalf("outcome %s, want %s: %v", result.Outcome, test.want, result.Err)
			}
			requireConsistentResults(t, c.platform, []Result{result})
		})
	}
}
