package settings

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// maxUncompressedDeltaBytes is the size up to which a delta is not compressed,
// since compression would make a short one longer.
const maxUncompressedDeltaBytes = 512

// uncompressedPrefix is the first byte of an uncompressed delta. A compressed
// one starts with the gzip magic number.
const uncompressedPrefix = '{'

// delta is an update from one node to another: the edits after a revision, or
// the complete tree.
type delta struct {
	Edits    []editDelta `json:"edits,omitempty"` // consecutive revisions
	FullTree *fullTree   `json:"whole,omitempty"`
}

// editDelta is an accepted edit without the fields that only the history needs.
type editDelta struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// fullTree is the encoded form of a tree at a revision.
type fullTree struct {
	Revision uint64      `json:"revision"`
	Nodes    []chunkNode `json:"nodes"`
}

func newEditDelta(record Record) editDelta {
	changes := make([]Change, len(record.Changes))
	for i, change := range record.Changes {
		change.Before = ""
		if change.Op == OpRemove {
			change.Settings = nil
		}
		changes[i] = change
	}
	return editDelta{Revision: record.Revision, Changes: changes}
}

func newFullTree(tree *Tree) *fullTree {
	full := &fullTree{Revision: tree.Revision()}
	for _, path := range tree.Paths() {
		full.Nodes = append(full.Nodes, chunkNode{Path: path, Settings: tree.nodes[path].settings})
	}
	return full
}

func (f *fullTree) tree() *Tree {
	tree := NewTree().WithRevision(f.Revision)
	for _, entry := range f.Nodes {
		tree.nodes[entry.Path] = newNode(entry.Settings)
	}
	return tree
}

func encodeDelta(d delta) ([]byte, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(text) <= maxUncompressedDeltaBytes {
		return text, nil
	}
	return encode(d)
}

func decodeDelta(data []byte) (delta, error) {
	var d delta
	if len(data) > 0 && data[0] == uncompressedPrefix {
		err := json.Unmarshal(data, &d)
		return d, errors.Wrap(err, "decoding a settings delta")
	}
	err := decode(data, &d)
	return d, errors.WithMessage(err, "decoding a settings delta")
}
