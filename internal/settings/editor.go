package settings

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// Outcome is the outcome of a submitted edit, as far as it is known.
type Outcome string

// The outcomes of an edit.
const (
	// OutcomeAccepted means that the edit is in the history and will reach
	// every node.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that the edit was not accepted and never will be,
	// because a conflicting one was accepted first.
	OutcomeConflict Outcome = "conflict"
	// OutcomeNotAccepted means that the edit was not accepted and never will be.
	OutcomeNotAccepted Outcome = "not-accepted"
	// OutcomeUnknown means that the edit may have been accepted or may yet be.
	// Reader.OutcomeOf returns the outcome once it is known.
	OutcomeUnknown Outcome = "unknown"
)

// ErrNoChange is the error of an edit that changes nothing. It is not accepted.
var ErrNoChange = errors.New("the edit changes nothing")

// Edit is a set of changes that are accepted atomically.
type Edit struct {
	Operator string
	Reason   string
	Changes  []Change
	// ExpectedRevision is the revision that the tree must have; nil allows any.
	ExpectedRevision *uint64
	// BaseRevision is the revision that the operator has seen. A later edit
	// with overlapping changes is a conflict. Nil means the revision at which
	// Submit first reads the tree.
	BaseRevision *uint64
}

// Result is the result of Editor.Submit.
type Result struct {
	Outcome   Outcome  `json:"outcome"`
	ID        EditID   `json:"edit"`
	Revision  uint64   `json:"revision,omitempty"` // of the accepted edit; if the outcome is unknown, the only one that the edit can get
	Changes   []Change `json:"changes,omitempty"`  // of the accepted edit, with the previous values
	Conflicts []Record `json:"others,omitempty"`   // the accepted edits that conflict with it
	Err       error    `json:"-"`                  // why it was not accepted, or why the outcome is unknown
}

// Editor submits edits. It is not safe for concurrent use; each operator needs
// its own.
type Editor struct {
	Now   func() time.Time       // returns the time to record in the history
	NewID func() (EditID, error) // generates the IDs of edits

	reader *Reader
}

// NewEditor returns an editor of the settings on the platform.
func NewEditor(api platform.API, retry RetryPolicy) *Editor {
	return &Editor{Now: time.Now, NewID: uuid.NewV7, reader: NewReader(api, retry)}
}

// Reader returns the editor's reader.
func (e *Editor) Reader() *Reader { return e.reader }

// Submit validates an edit and commits it by a conditional update of the head.
// If another edit came first, Submit applies the edit to the new tree, unless
// the two overlap.
//
// Each Submit generates a new edit ID. If a second Submit reused the ID of one
// with an unknown outcome, it could report the edit as not accepted while the
// first one's update is still in flight to the platform.
func (e *Editor) Submit(ctx context.Context, edit Edit) Result {
	id, err := e.NewID()
	if err != nil {
		return Result{Outcome: OutcomeNotAccepted, Err: errors.WithStack(err)}
	}
	return (&submission{Editor: e, id: id, edit: edit}).run(ctx)
}

// submission is the state of one Submit.
type submission struct {
	*Editor
	id         EditID
	edit       Edit
	minVersion platform.Version // an older head is known to be stale
}

func (s *submission) run(ctx context.Context) Result {
	for range s.reader.retry.MaxAttempts {
		base, err := s.reader.Read(ctx, s.minVersion)
		if err != nil {
			return s.notAccepted(fleet.Wrap(err, fleet.StepEdit, ""))
		}
		if s.readIsStale(base) {
			s.minVersion = base.Version + 1
			continue
		}
		if result, done := s.checkConflicts(ctx, base); done {
			return result
		}
		next, err := s.propose(ctx, base)
		if errors.Is(err, errStale) {
			s.minVersion = base.Version + 1
			continue
		}
		if err != nil {
			return s.notAccepted(fleet.Wrap(err, fleet.StepEdit, ""))
		}
		result, decided := s.commit(ctx, base, next)
		if decided {
			return result
		}
		// Another edit got this revision and this one certainly had no effect,
		// so it can be retried on top of the other.
		s.minVersion = base.Version + 1
		s.discardChunks(ctx, next)
	}
	return s.notAccepted(fleet.Errorf(fleet.StepUpdate, "", "other edits came first at each of %d attempts", s.reader.retry.MaxAttempts))
}

// readIsStale reports whether the operator has seen a newer revision than the one
// that was read.
func (s *submission) readIsStale(base Snapshot) bool {
	for _, seen := range []*uint64{s.edit.BaseRevision, s.edit.ExpectedRevision} {
		if seen != nil && *seen > base.Head.Revision {
			return true
		}
	}
	return false
}

// checkConflicts returns a result and true if edits that the operator hasn't seen
// conflict with this one.
func (s *submission) checkConflicts(ctx context.Context, base Snapshot) (Result, bool) {
	others, err := s.conflictingEdits(ctx, base.Head)
	if err != nil {
		return s.notAccepted(fleet.Wrap(err, fleet.StepEdit, "")), true
	}
	if len(others) == 0 {
		return Result{}, false
	}
	return Result{
		Outcome: OutcomeConflict, ID: s.id, Conflicts: others,
		Err: fleet.Errorf(fleet.StepUpdate, "", "another edit came first"),
	}, true
}

// conflictingEdits returns the accepted edits that the operator has not seen and
// that conflict with this one.
func (s *submission) conflictingEdits(ctx context.Context, head *Head) ([]Record, error) {
	if s.edit.ExpectedRevision != nil {
		return s.reader.editsAfter(ctx, head, *s.edit.ExpectedRevision)
	}
	if s.edit.BaseRevision == nil {
		s.edit.BaseRevision = &head.Revision
	}
	others, err := s.reader.editsAfter(ctx, head, *s.edit.BaseRevision)
	return overlappingEdits(others, s.edit.Changes), err
}

func overlappingEdits(records []Record, changes []Change) []Record {
	var found []Record
	for _, record := range records {
		if anyOverlap(record.Changes, changes) {
			found = append(found, record)
		}
	}
	return found
}

func anyOverlap(changes, others []Change) bool {
	for _, change := range changes {
		for _, other := range others {
			if change.Overlaps(other) {
				return true
			}
		}
	}
	return false
}

func (s *submission) notAccepted(err error) Result {
	return Result{Outcome: OutcomeNotAccepted, ID: s.id, Err: err}
}

func (s *submission) accepted(record Record) Result {
	return Result{Outcome: OutcomeAccepted, ID: s.id, Revision: record.Revision, Changes: record.Changes}
}

func (s *submission) unknown(next *proposal, err error) Result {
	return Result{Outcome: OutcomeUnknown, ID: s.id, Revision: next.record.Revision, Err: err}
}
