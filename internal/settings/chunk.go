package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// minChunkCount is the number of chunks of a small tree. An edit rewrites every
// chunk that it changes, so chunks are kept far below the platform's size limit.
const minChunkCount = 16

// ChunkRef is a reference from the head to a chunk object.
type ChunkRef struct {
	Key    string `json:"key,omitempty"` // empty for a chunk without nodes
	Digest uint64 `json:"digest,omitempty"`
}

// chunkNode is the stored form of a node.
type chunkNode struct {
	Path     Path      `json:"path"`
	Settings []Setting `json:"settings,omitempty"`
}

// chunkIndex returns which of count chunks contains a path.
func chunkIndex(path Path, count int) int {
	return int(xxhash.Sum64String(string(path)) % uint64(count))
}

// chunkKey returns the key of a chunk object. It contains the edit's ID besides
// the revision, so that two edits that race for a revision never write the same
// object.
func chunkKey(index int, revision uint64, id EditID) string {
	return fmt.Sprintf("%s%d-%d-%s", ChunkPrefix, index, revision, id)
}

// chunkRevision parses the revision in a chunk's key.
func chunkRevision(key string) (uint64, error) {
	parts := strings.SplitN(strings.TrimPrefix(key, ChunkPrefix), "-", 3)
	if len(parts) < 3 {
		return 0, errors.Errorf("not a chunk key: %s", key)
	}
	revision, err := strconv.ParseUint(parts[1], 10, 64)
	return revision, errors.WithStack(err)
}

// object is an object that has to be written before the head refers to it.
type object struct {
	key  string
	data []byte
}

// buildChunks returns the references to a tree's chunks and the objects to write
// for it, which are the chunks that differ from the base. The number of chunks
// doubles when one exceeds its size limit, and never decreases. It is bounded,
// because splitting cannot reduce a single large node.
func (l limits) buildChunks(base Snapshot, tree *Tree, revision uint64, id EditID) ([]ChunkRef, []object, error) {
	count := max(len(base.Head.Chunks), minChunkCount)
	for {
		refs, objects, err := splitChunks(base, tree, count, revision, id)
		if err != nil {
			return nil, nil, err
		}
		size := largestSize(objects)
		switch {
		case size <= l.maxChunkBytes:
			return refs, objects, nil
		case 2*count <= l.maxChunks:
			count *= 2
		case size <= platform.MaxObjectBytes:
			return refs, objects, nil
		default:
			return nil, nil, errors.Errorf("a chunk of the tree has %d bytes, more than the maximum of %d", size, platform.MaxObjectBytes)
		}
	}
}

func splitChunks(base Snapshot, tree *Tree, count int, revision uint64, id EditID) ([]ChunkRef, []object, error) {
	nodes := make([][]chunkNode, count)
	for _, path := range tree.Paths() {
		index := chunkIndex(path, count)
		nodes[index] = append(nodes[index], chunkNode{Path: path, Settings: tree.nodes[path].settings})
	}
	changed := changedChunks(base, tree, count)
	refs := make([]ChunkRef, count)
	var objects []object
	for index := range refs {
		switch {
		case !changed[index]:
			refs[index] = base.Head.Chunks[index]
		case len(nodes[index]) > 0:
			data, err := encode(nodes[index])
			if err != nil {
				return nil, nil, err
			}
			refs[index] = ChunkRef{Key: chunkKey(index, revision, id), Digest: xxhash.Sum64(data)}
			objects = append(objects, object{key: refs[index].Key, data: data})
		}
	}
	return refs, objects, nil
}

// changedChunks reports for each chunk whether it differs between the base and
// the tree. All of them do when their number has changed.
func changedChunks(base Snapshot, tree *Tree, count int) []bool {
	changed := make([]bool, count)
	if count != len(base.Head.Chunks) {
		for index := range changed {
			changed[index] = true
		}
		return changed
	}
	for path, after := range tree.nodes {
		if base.Tree.nodes[path] != after {
			changed[chunkIndex(path, count)] = true
		}
	}
	for path := range base.Tree.nodes {
		if !tree.Has(path) {
			changed[chunkIndex(path, count)] = true
		}
	}
	return changed
}

func largestSize(objects []object) int {
	size := 0
	for _, object := range objects {
		size = max(size, len(object.data))
	}
	return size
}
