package settings

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// Outcome is what is known of a submitted edit.
type Outcome string

// The outcomes of an edit.
const (
	// OutcomeAccepted means that the edit is in the history and will reach
	// every node.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that the edit is not accepted and never will be,
	// because another one came first.
	OutcomeConflict Outcome = "conflict"
	// OutcomeNotAccepted means that the edit is not accepted and never will be.
	OutcomeNotAccepted Outcome = "not-accepted"
	// OutcomeUnknown means that the edit may have been accepted or may yet be.
	// Reader.OutcomeOf tells later.
	OutcomeUnknown Outcome = "unknown"
)

// ErrNoChange tells that an edit would change nothing. It is not accepted.
var ErrNoChange = errors.New("the edit changes nothing")

// Edit is a set of changes that are accepted together or not at all.
type Edit struct {
	Operator string
	Reason   string
	Changes  []Change
	// ExpectedRevision is the revision that the tree must have; nil accepts any.
	ExpectedRevision *uint64
	// BaseRevision is the revision that the operator has seen. An edit made since
	// then to the same keys is a conflict. Nil takes the revision at which
	// Submit first reads the tree.
	BaseRevision *uint64
}

// Result tells how a submitted edit ended.
type Result struct {
	Outcome   Outcome  `json:"outcome"`
	ID        EditID   `json:"edit"`
	Revision  uint64   `json:"revision,omitempty"` // of the accepted edit; the only one it can have when the outcome is unknown
	Changes   []Change `json:"changes,omitempty"`  // of the accepted edit, with the values from before
	Conflicts []Record `json:"others,omitempty"`   // the edits that it is in conflict with
	Err       error    `json:"-"`                  // why it was not accepted, or why that is unknown
}

// Editor submits edits. It is not safe for concurrent use; operators have one
// each.
type Editor struct {
	Now   func() time.Time       // the time that the history records
	NewID func() (EditID, error) // makes the ids of edits

	reader *Reader
}

// NewEditor returns an editor of the platform's settings.
func NewEditor(api platform.API, retry RetryPolicy) *Editor {
	return &Editor{Now: time.Now, NewID: uuid.NewV7, reader: NewReader(api, retry)}
}

// Reader returns the editor's reader.
func (e *Editor) Reader() *Reader { return e.reader }

// Submit checks an edit and has it accepted by a conditional update of the
// head. When another edit came first, the edit is applied to the new tree,
// unless both touch the same keys.
//
// Each Submit makes an edit id of its own. A second Submit under the id of one
// whose outcome is unknown could report the edit as not accepted while the
// first one's update is still on its way to the platform.
func (e *Editor) Submit(ctx context.Context, edit Edit) Result {
	id, err := e.NewID()
	if err != nil {
		return Result{Outcome: OutcomeNotAccepted, Err: errors.WithStack(err)}
	}
	return (&submission{Editor: e, id: id, edit: edit}).run(ctx)
}

// submission is the course of one Submit.
type submission struct {
	*Editor
	id      EditID
	edit    Edit
	atLeast platform.Version // a head below it is known to be out of date
}

func (s *submission) run(ctx context.Context) Result {
	for range s.reader.retry.MaxAttempts {
		base, err := s.reader.Read(ctx, s.atLeast)
		if err != nil {
			return s.notAccepted(fleet.Wrap(err, fleet.StepEdit, ""))
		}
		if s.ahead(base) {
			s.atLeast = base.Version + 1
			continue
		}
		if result, done := s.checkBase(ctx, base); done {
			return result
		}
		next, err := s.propose(ctx, base)
		if errors.Is(err, errStale) {
			s.atLeast = base.Version + 1
			continue
		}
		if err != nil {
			return s.notAccepted(fleet.Wrap(err, fleet.StepEdit, ""))
		}
		result, decided := s.commit(ctx, base, next)
		if decided {
			return result
		}
		// The edit lost the race for this revision and certainly has had no
		// effect, so it may be made again on top of the winner.
		s.atLeast = base.Version + 1
		s.discard(ctx, next)
	}
	return s.notAccepted(fleet.Errorf(fleet.StepUpdate, "", "other edits came first at each of %d attempts", s.reader.retry.MaxAttempts))
}

// ahead reports whether the operator has seen a newer tree than was read, so
// that the read was out of date.
func (s *submission) ahead(base Snapshot) bool {
	for _, seen := range []*uint64{s.edit.BaseRevision, s.edit.ExpectedRevision} {
		if seen != nil && *seen > base.Head.Revision {
			return true
		}
	}
	return false
}

// checkBase looks at the edits that the operator has not seen.
func (s *submission) checkBase(ctx context.Context, base Snapshot) (Result, bool) {
	others, err := s.unseen(ctx, base.Head)
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

// unseen returns the edits that the operator has not seen and that stand
// against this one.
func (s *submission) unseen(ctx context.Context, head *Head) ([]Record, error) {
	if s.edit.ExpectedRevision != nil {
		return s.reader.after(ctx, head, *s.edit.ExpectedRevision)
	}
	if s.edit.BaseRevision == nil {
		s.edit.BaseRevision = &head.Revision
	}
	others, err := s.reader.after(ctx, head, *s.edit.BaseRevision)
	return overlapping(others, s.edit.Changes), err
}

func overlapping(records []Record, changes []Change) []Record {
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
