package settings

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// auditBlock is the content of an audit object: consecutive edits in the order
// of their revisions, and the key of the previous block. The blocks form a
// linked list of unlimited length without gaps.
type auditBlock struct {
	Previous string   `json:"previous,omitempty"`
	Records  []Record `json:"records"`
}

func (b *auditBlock) firstRevision() uint64 { return b.Records[0].Revision }
func (b *auditBlock) lastRevision() uint64  { return b.Records[len(b.Records)-1].Revision }

// auditKey returns the key of the block that begins with a revision.
func auditKey(first uint64) string { return fmt.Sprintf("%s%020d", AuditPrefix, first) }

// moveToAudit writes the oldest edits of the base to an audit object when the
// head has grown large, and returns the head without them. It runs before the
// update of the head, so a failure in between leaves an edit in both places and
// never loses it. Another editor may have written the block already; a block
// contains accepted edits only, so the existing one is used whatever its length.
func (r *Reader) moveToAudit(ctx context.Context, base Snapshot) (Head, error) {
	head := *base.Head
	count, err := r.limits.overflow(head.Recent)
	if err != nil || count == 0 {
		return head, err
	}
	block := &auditBlock{Previous: head.LastAuditKey, Records: head.Recent[:count]}
	data, err := encode(block)
	if err != nil {
		return head, err
	}
	key := auditKey(head.AuditedRevision + 1)
	existed, err := r.create(ctx, key, data)
	if err != nil {
		return head, err
	}
	if existed {
		block, err = r.readBlock(ctx, key)
		if err != nil {
			return head, err
		}
	}
	if block.firstRevision() != head.AuditedRevision+1 {
		return head, errors.Errorf("%s: audit object begins with revision %d", key, block.firstRevision())
	}
	if block.lastRevision() > head.Revision {
		return head, errStale
	}
	head.Recent = head.Recent[block.lastRevision()-head.AuditedRevision:]
	head.AuditedRevision = block.lastRevision()
	head.LastAuditKey = key
	return head, nil
}

// overflow returns how many of the oldest edits to move out of the head.
func (l limits) overflow(recent []Record) (int, error) {
	sizes := make([]int, len(recent))
	total := 0
	for i, record := range recent {
		data, err := encode(record)
		if err != nil {
			return 0, err
		}
		sizes[i] = len(data)
		total += len(data)
	}
	if len(recent) < l.maxRecent && total <= l.maxRecentBytes {
		return 0, nil
	}
	count, moved := 0, 0
	for count < len(recent) && moved+sizes[count] <= 2*maxEditBytes {
		if len(recent)-count <= l.keepRecent && total-moved <= l.maxRecentBytes/2 {
			break
		}
		moved += sizes[count]
		count++
	}
	return count, nil
}

func (r *Reader) readBlock(ctx context.Context, key string) (*auditBlock, error) {
	found, err := r.get(ctx, key)
	if err != nil {
		return nil, err
	}
	block := &auditBlock{}
	if err := decode(found.Data, block); err != nil {
		return nil, errors.WithMessage(err, key)
	}
	if len(block.Records) == 0 {
		return nil, errors.Errorf("%s: audit object is empty", key)
	}
	return block, nil
}

// History calls visit for the accepted edits, newest first, until visit returns
// false or the first edit has been visited. If an audit object cannot be read,
// it returns an error instead of skipping edits.
func (r *Reader) History(ctx context.Context, minVersion platform.Version, visit func(Record) bool) error {
	head, _, err := r.ReadHead(ctx, minVersion)
	if err != nil {
		return err
	}
	return r.visitNewestFirst(ctx, head, visit)
}

func (r *Reader) visitNewestFirst(ctx context.Context, head *Head, visit func(Record) bool) error {
	records, previous := head.Recent, head.LastAuditKey
	for {
		for _, record := range slices.Backward(records) {
			if !visit(record) {
				return nil
			}
		}
		if previous == "" {
			return nil
		}
		block, err := r.readBlock(ctx, previous)
		if err != nil {
			return err
		}
		records, previous = block.Records, block.Previous
	}
}

// editsAfter returns the edits after a revision, oldest first.
func (r *Reader) editsAfter(ctx context.Context, head *Head, revision uint64) ([]Record, error) {
	if records, ok := head.editsSince(revision); ok {
		return records, nil
	}
	var records []Record
	err := r.visitNewestFirst(ctx, head, func(record Record) bool {
		if record.Revision > revision {
			records = append(records, record)
		}
		return record.Revision > revision+1
	})
	slices.Reverse(records)
	return records, err
}

// OutcomeOf returns the outcome of an edit that Submit reported as unknown. An
// edit can only be accepted under the revision in its Result, so the edit that
// has this revision determines the outcome; until one does, the outcome stays
// unknown. A stale read may leave the outcome unknown but never makes it wrong.
func (r *Reader) OutcomeOf(ctx context.Context, id EditID, revision uint64) (Outcome, Record, error) {
	head, _, err := r.ReadHead(ctx, 0)
	if err != nil {
		return OutcomeUnknown, Record{}, err
	}
	return r.outcomeAt(ctx, head, id, revision)
}

func (r *Reader) outcomeAt(ctx context.Context, head *Head, id EditID, revision uint64) (Outcome, Record, error) {
	if revision == 0 || head.Revision < revision {
		return OutcomeUnknown, Record{}, nil
	}
	edits, err := r.editsAfter(ctx, head, revision-1)
	if err != nil {
		return OutcomeUnknown, Record{}, err
	}
	if edits[0].ID == id {
		return OutcomeAccepted, edits[0], nil
	}
	return OutcomeNotAccepted, Record{}, nil
}
