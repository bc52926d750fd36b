package settings

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// proposal is an edit that is ready to be committed. All objects that its head
// refers to have been written.
type proposal struct {
	record Record
	head   []byte
	chunks []object
}

// propose applies the edit to the base and writes the objects that the new head
// refers to.
func (s *submission) propose(ctx context.Context, base Snapshot) (*proposal, error) {
	tree, changes, err := base.Tree.Apply(s.edit.Changes)
	if err != nil {
		return nil, err
	}
	if len(changes) == 0 {
		return nil, ErrNoChange
	}
	if err := tree.Validate(); err != nil {
		return nil, err
	}
	record := Record{
		ID: s.id, Revision: base.Head.Revision + 1, Time: s.Now().UTC(),
		Operator: s.edit.Operator, Reason: s.edit.Reason, Changes: changes,
	}
	if err := checkSize(record); err != nil {
		return nil, err
	}
	head, err := s.reader.moveToAudit(ctx, base)
	if err != nil {
		return nil, err
	}
	refs, objects, err := s.reader.limits.buildChunks(base, tree, record.Revision, record.ID)
	if err != nil {
		return nil, err
	}
	if err := s.writeChunks(ctx, objects); err != nil {
		return nil, err
	}
	head.Revision = record.Revision
	head.Recent = append(head.Recent[:len(head.Recent):len(head.Recent)], record)
	head.Chunks = refs
	data, err := encode(&head)
	if err != nil {
		return nil, err
	}
	if len(data) > platform.MaxObjectBytes {
		return nil, errors.Errorf("the head would have %d bytes, more than the maximum of %d", len(data), platform.MaxObjectBytes)
	}
	return &proposal{record: record, head: data, chunks: objects}, nil
}

func checkSize(record Record) error {
	data, err := encode(record)
	if err != nil {
		return err
	}
	if len(data) > maxEditBytes {
		return errors.Errorf("the edit has %d bytes after compression, more than the maximum of %d; split it into several edits", len(data), maxEditBytes)
	}
	return nil
}

// writeChunks writes the chunk objects. One that exists already was written by
// an attempt whose reply was lost. If its content differs nevertheless, it must
// not become part of the tree.
func (s *submission) writeChunks(ctx context.Context, objects []object) error {
	for _, object := range objects {
		existed, err := s.reader.create(ctx, object.key, object.data)
		if err != nil {
			return err
		}
		if !existed {
			continue
		}
		found, err := s.reader.get(ctx, object.key)
		if err != nil {
			return err
		}
		if xxhash.Sum64(found.Data) != xxhash.Sum64(object.data) {
			return errors.Errorf("%s: an object with other content exists under the key", object.key)
		}
	}
	return nil
}
