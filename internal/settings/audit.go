package settings

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// auditBlock is an audit object: edits in the order of their revisions and the
// key of the block before. The chain of blocks has no bound and no hole.
type auditBlock struct {
	Previous string   `json:"previous,omitempty"`
	Records  []Record `json:"records"`
}

func (b *auditBlock) first() uint64 { return b.Records[0].Revision }
func (b *auditBlock) last() uint64  { return b.Records[len(b.Records)-1].Revision }

// auditKey names the block that begins with a revision.
func auditKey(first uint64) string { return fmt.Sprintf("%s%020d", AuditPrefix, first) }

// moveToAudit writes the oldest edits of the base to an audit object when the
// head has grown large, and returns the head without them. It runs before the
// head's update: a failure in between leaves an edit in both places, never in
// none. Another editor may have written the block already; it holds accepted
// edits only, so it is taken as it is, whatever its length.
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
	if block.first() != head.AuditedRevision+1 {
		return head, errors.Errorf("%s: begins with revision %d", key, block.first())
	}
	if block.last() > head.Revision {
		return head, errStale
	}
	head.Recent = head.Recent[block.last()-head.AuditedRevision:]
	head.AuditedRevision = block.last()
	head.LastAuditKey = key
	return head, nil
}

// overflow tells how many of the oldest edits have to leave the head.
func (l limits) overflow(recent []Record) (int, error) {
	sizes := make([]int, len(recent))
	total := 0
	for place, record := range recent {
		data, err := encode(record)
		if err != nil {
			return 0, err
		}
		sizes[place] = len(data)
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
		return nil, errors.Errorf("%s: the audit object is empty", key)
	}
	return block, nil
}

// History visits the accepted edits, the newest first, until visit returns
// false or there are no older ones. An audit object that cannot be read is an
// error, never a gap.
func (r *Reader) History(ctx context.Context, atLeast platform.Version, visit func(Record) bool) error {
	head, _, err := r.ReadHead(ctx, atLeast)
	if err != nil {
		return err
	}
	return r.visitBack(ctx, head, visit)
}

func (r *Reader) visitBack(ctx context.Context, head *Head, visit func(Record) bool) error {
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

// after returns the edits that follow a revision, the oldest first.
func (r *Reader) after(ctx context.Context, head *Head, revision uint64) ([]Record, error) {
	if records, ok := head.since(revision); ok {
		return records, nil
	}
	var records []Record
	err := r.visitBack(ctx, head, func(record Record) bool {
		if record.Revision > revision {
			records = append(records, record)
		}
		return record.Revision > revision+1
	})
	slices.Reverse(records)
	return records, err
}

// OutcomeOf tells what became of an edit whose outcome was unknown. An edit can
// only be accepted as the revision that Result names, so the edit that has this
// revision decides; until there is one, the outcome stays unknown. A read that
// is out of date may leave it unknown but never makes it wrong.
func (r *Reader) OutcomeOf(ctx context.Context, id EditID, revision uint64) (Outcome, Record, error) {
	head, _, err := r.ReadHead(ctx, 0)
	if err != nil {
		return OutcomeUnknown, Record{}, err
	}
	return r.outcomeIn(ctx, head, id, revision)
}

func (r *Reader) outcomeIn(ctx context.Context, head *Head, id EditID, revision uint64) (Outcome, Record, error) {
	if revision == 0 || head.Revision < revision {
		return OutcomeUnknown, Record{}, nil
	}
	followers, err := r.after(ctx, head, revision-1)
	if err != nil {
		return OutcomeUnknown, Record{}, err
	}
	if followers[0].ID == id {
		return OutcomeAccepted, followers[0], nil
	}
	return OutcomeNotAccepted, Record{}, nil
}
