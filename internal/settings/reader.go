package settings

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// errStale means that a read returned an older state than is known to exist.
var errStale = errors.New("the platform returned a stale state of the settings")

// Reader reads the settings from the platform. It is not safe for concurrent
// use.
type Reader struct {
	retryingClient
	limits     limits
	chunkCache map[string][]chunkNode // by key; chunk objects never change
}

// NewReader returns a reader of the settings on the platform.
func NewReader(api platform.API, retry RetryPolicy) *Reader {
	return &Reader{retryingClient: retryingClient{api: api, retry: retry}, limits: defaultLimits, chunkCache: make(map[string][]chunkNode)}
}

// ReadHead reads the head object. If the version is below minVersion, the read is
// stale and is retried: a decision based on it would be rejected later or, worse,
// report an accepted edit as absent. If there is no head object, ReadHead returns
// the head of revision 0 and version 0.
func (r *Reader) ReadHead(ctx context.Context, minVersion platform.Version) (*Head, platform.Version, error) {
	var head *Head
	var version platform.Version
	err := r.retryCall(ctx, func(ctx context.Context) (bool, error) {
		found, err := r.api.Get(ctx, HeadKey)
		if errors.Is(err, platform.ErrNotFound) {
			found, err = platform.Object{}, nil
		}
		if err != nil {
			return false, err
		}
		if found.Version < minVersion {
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

// Read reads the head and the complete tree.
func (r *Reader) Read(ctx context.Context, minVersion platform.Version) (Snapshot, error) {
	var snapshot Snapshot
	err := r.retryLoop(ctx, func() (bool, error) {
		return r.readOnce(ctx, minVersion, &snapshot)
	})
	return snapshot, err
}

// readOnce reads a head and its tree. If a chunk is missing, either it was
// deleted after a newer edit replaced it or the read was stale; in both cases the
// caller has to read the head again.
func (r *Reader) readOnce(ctx context.Context, minVersion platform.Version, snapshot *Snapshot) (bool, error) {
	head, version, err := r.ReadHead(ctx, minVersion)
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
	cached := make(map[string][]chunkNode, len(head.Chunks))
	for _, ref := range head.Chunks {
		if ref.Key == "" {
			continue
		}
		nodes, err := r.readChunk(ctx, ref)
		if err != nil {
			return nil, err
		}
		cached[ref.Key] = nodes
		for _, entry := range nodes {
			tree.nodes[entry.Path] = newNode(entry.Settings)
		}
	}
	r.chunkCache = cached
	return tree, nil
}

func (r *Reader) readChunk(ctx context.Context, ref ChunkRef) ([]chunkNode, error) {
	if nodes, ok := r.chunkCache[ref.Key]; ok {
		return nodes, nil
	}
	found, err := r.getIfPresent(ctx, ref.Key)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(found.Data) != ref.Digest {
		return nil, errors.Errorf("%s: the content does not match the digest in the head", ref.Key)
	}
	var nodes []chunkNode
	if err := decode(found.Data, &nodes); err != nil {
		return nil, errors.WithMessage(err, ref.Key)
	}
	return nodes, nil
}

// getIfPresent reads an object that may have been deleted. It doesn't retry after
// ErrNotFound.
func (r *Reader) getIfPresent(ctx context.Context, key string) (platform.Object, error) {
	var found platform.Object
	err := r.retryCall(ctx, func(ctx context.Context) (bool, error) {
		object, err := r.api.Get(ctx, key)
		found = object
		return errors.Is(err, platform.ErrNotFound), err
	})
	return found, errors.WithMessage(err, key)
}
