package settings

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// errStale tells that a read gave less than what is known to exist.
var errStale = errors.New("the platform gave an old state of the settings")

// Reader reads the settings from the platform. It is not safe for concurrent
// use.
type Reader struct {
	calls
	limits limits
	chunks map[string][]chunkNode // by key; chunk objects never change
}

// NewReader returns a reader of the platform's settings.
func NewReader(api platform.API, retry RetryPolicy) *Reader {
	return &Reader{calls: calls{api: api, retry: retry}, limits: defaultLimits, chunks: make(map[string][]chunkNode)}
}

// ReadHead reads the head object. A version below atLeast is known to be old:
// the read is repeated, since a decision on an old state would be refused later
// or, worse, report an accepted edit as absent. Without a head object it
// returns the head of revision 0 and version 0.
func (r *Reader) ReadHead(ctx context.Context, atLeast platform.Version) (*Head, platform.Version, error) {
	var head *Head
	var version platform.Version
	err := r.repeatCall(ctx, func(ctx context.Context) (bool, error) {
		found, err := r.api.Get(ctx, HeadKey)
		if errors.Is(err, platform.ErrNotFound) {
			found, err = platform.Object{}, nil
		}
		if err != nil {
			return false, err
		}
		if found.Version < atLeast {
			return false, errStale
		}
		head, version = &Head{}, found.Version
		if version == 0 {
			return true, nil
		}
		if err := decode(found.Data, head); err != nil {
			return true, err
		}
		return true, head.check()
	})
	return head, version, err
}

// Read reads the head and the whole tree.
func (r *Reader) Read(ctx context.Context, atLeast platform.Version) (Snapshot, error) {
	var snapshot Snapshot
	err := r.repeat(ctx, func() (bool, error) {
		return r.readOnce(ctx, atLeast, &snapshot)
	})
	return snapshot, err
}

// readOnce reads the tree of one head. A chunk that is not found was removed
// after a newer edit replaced it, or the read was out of date; either way
// another read of the head helps.
func (r *Reader) readOnce(ctx context.Context, atLeast platform.Version, snapshot *Snapshot) (bool, error) {
	head, version, err := r.ReadHead(ctx, atLeast)
	if err != nil {
		return true, err
	}
	tree, err := r.readTree(ctx, head)
	if err != nil {
		return !errors.Is(err, platform.ErrNotFound), err
	}
	*snapshot = Snapshot{Head: head, Version: version, Tree: tree}
	return true, nil
}

func (r *Reader) readTree(ctx context.Context, head *Head) (*Tree, error) {
	tree := NewTree().WithRevision(head.Revision)
	kept := make(map[string][]chunkNode, len(head.Chunks))
	for _, ref := range head.Chunks {
		if ref.Key == "" {
			continue
		}
		nodes, err := r.readChunk(ctx, ref)
		if err != nil {
			return nil, err
		}
		kept[ref.Key] = nodes
		for _, entry := range nodes {
			tree.nodes[entry.Path] = newNode(entry.Settings)
		}
	}
	r.chunks = kept
	return tree, nil
}

func (r *Reader) readChunk(ctx context.Context, ref ChunkRef) ([]chunkNode, error) {
	if nodes, ok := r.chunks[ref.Key]; ok {
		return nodes, nil
	}
	found, err := r.getOnce(ctx, ref.Key)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(found.Data) != ref.Digest {
		return nil, errors.Errorf("%s: the content is not the one that the head refers to", ref.Key)
	}
	var nodes []chunkNode
	if err := decode(found.Data, &nodes); err != nil {
		return nil, errors.WithMessage(err, ref.Key)
	}
	return nodes, nil
}

// getOnce reads an object that may have been removed: ErrNotFound is final.
func (r *Reader) getOnce(ctx context.Context, key string) (platform.Object, error) {
	var found platform.Object
	err := r.repeatCall(ctx, func(ctx context.Context) (bool, error) {
		object, err := r.api.Get(ctx, key)
		found = object
		return errors.Is(err, platform.ErrNotFound), err
	})
	return found, errors.WithMessage(err, key)
}
