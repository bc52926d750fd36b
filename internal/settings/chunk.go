package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// firstChunkCount is the number of chunks of a small tree. An edit rewrites the
// chunks that it touches, so they are kept far below the platform's limit.
const firstChunkCount = 16

// ChunkRef refers to a chunk object.
type ChunkRef struct {
	Key    string `json:"key,omitempty"` // empty for a chunk without nodes
	Digest uint64 `json:"digest,omitempty"`
}

// chunkNode is a node in a chunk object.
type chunkNode struct {
	Path     Path      `json:"path"`
	Settings []Setting `json:"settings,omitempty"`
}

// chunkOf tells which of count chunks holds a path.
func chunkOf(path Path, count int) int {
	return int(xxhash.Sum64String(string(path)) % uint64(count))
}

// chunkKey names a chunk object. It has the edit's id besides the revision, so
// that two edits that race for a revision never write the same object.
func chunkKey(place int, revision uint64, id EditID) string {
	return fmt.Sprintf("%s%d-%d-%s", ChunkPrefix, place, revision, id)
}

// chunkRevision reads the revision from a chunk's key.
func chunkRevision(key string) (uint64, error) {
	parts := strings.SplitN(strings.TrimPrefix(key, ChunkPrefix), "-", 3)
	if len(parts) < 3 {
		return 0, errors.Errorf("not the key of a chunk: %s", key)
	}
	revision, err := strconv.ParseUint(parts[1], 10, 64)
	return revision, errors.WithStack(err)
}

// object is a value that has to be on the platform before the head refers to it.
type object struct {
	key  string
	data []byte
}

// buildChunks returns the references of a tree's chunks and the objects that
// have to be written for it: only the chunks that differ from the base. Their
// number doubles when one grows large; it never falls. It is bounded, since a
// single large node would make it double for ever.
func (l limits) buildChunks(base Snapshot, tree *Tree, revision uint64, id EditID) ([]ChunkRef, []object, error) {
	count := max(len(base.Head.Chunks), firstChunkCount)
	for {
		refs, objects, err := splitChunks(base, tree, count, revision, id)
		if err != nil {
			return nil, nil, err
		}
		size := largest(objects)
		switch {
		case size <= l.maxChunkBytes:
			return refs, objects, nil
		case 2*count <= l.maxChunks:
			count *= 2
		case size <= platform.MaxObjectBytes:
			return refs, objects, nil
		default:
			return nil, nil, errors.Errorf("a chunk of the tree has %d bytes, more than %d", size, platform.MaxObjectBytes)
		}
	}
}

func splitChunks(base Snapshot, tree *Tree, count int, revision uint64, id EditID) ([]ChunkRef, []object, error) {
	nodes := make([][]chunkNode, count)
	for _, path := range tree.Paths() {
		place := chunkOf(path, count)
		nodes[place] = append(nodes[place], chunkNode{Path: path, Settings: tree.nodes[path].settings})
	}
	changed := changedChunks(base, tree, count)
	refs := make([]ChunkRef, count)
	var objects []object
	for place := range refs {
		switch {
		case !changed[place]:
			refs[place] = base.Head.Chunks[place]
		case len(nodes[place]) > 0:
			data, err := encode(nodes[place])
			if err != nil {
				return nil, nil, err
			}
			refs[place] = ChunkRef{Key: chunkKey(place, revision, id), Digest: xxhash.Sum64(data)}
			objects = append(objects, object{key: refs[place].Key, data: data})
		}
	}
	return refs, objects, nil
}

// changedChunks marks the chunks that differ between the base and the tree. All
// of them do when their number has changed.
func changedChunks(base Snapshot, tree *Tree, count int) []bool {
	changed := make([]bool, count)
	if count != len(base.Head.Chunks) {
		for place := range changed {
			changed[place] = true
		}
		return changed
	}
	for path, after := range tree.nodes {
		if base.Tree.nodes[path] != after {
			changed[chunkOf(path, count)] = true
		}
	}
	for path := range base.Tree.nodes {
		if !tree.Has(path) {
			changed[chunkOf(path, count)] = true
		}
	}
	return changed
}

func largest(objects []object) int {
	size := 0
	for _, object := range objects {
		size = max(size, len(object.data))
	}
	return size
}
