package settings

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// plainDeltaBytes is the size below which a delta is not compressed: a short
// one would become longer.
const plainDeltaBytes = 512

// plainMark begins a delta that is not compressed. A compressed one begins with
// another byte.
const plainMark = '{'

// delta is what one node sends another: the edits after a revision, or the
// whole tree.
type delta struct {
	Edits []editDelta `json:"edits,omitempty"` // gapless
	Whole *wholeTree  `json:"whole,omitempty"`
}

// editDelta is an accepted edit without what only its history needs.
type editDelta struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// wholeTree is a tree at a revision.
type wholeTree struct {
	Revision uint64      `json:"revision"`
	Nodes    []chunkNode `json:"nodes"`
}

func newEditDelta(record Record) editDelta {
	changes := make([]Change, len(record.Changes))
	for place, change := range record.Changes {
		change.Before = ""
		if change.Op == OpRemove {
			change.Settings = nil
		}
		changes[place] = change
	}
	return editDelta{Revision: record.Revision, Changes: changes}
}

func newWholeTree(tree *Tree) *wholeTree {
	whole := &wholeTree{Revision: tree.Revision()}
	for _, path := range tree.Paths() {
		whole.Nodes = append(whole.Nodes, chunkNode{Path: path, Settings: tree.nodes[path].settings})
	}
	return whole
}

func (w *wholeTree) tree() *Tree {
	tree := NewTree().WithRevision(w.Revision)
	for _, entry := range w.Nodes {
		tree.nodes[entry.Path] = newNode(entry.Settings)
	}
	return tree
}

func encodeDelta(d delta) ([]byte, error) {
	plain, err := json.Marshal(d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(plain) <= plainDeltaBytes {
		return plain, nil
	}
	return encode(d)
}

func decodeDelta(data []byte) (delta, error) {
	var d delta
	if len(data) > 0 && data[0] == plainMark {
		err := json.Unmarshal(data, &d)
		return d, errors.Wrap(err, "delta of the settings")
	}
	err := decode(data, &d)
	return d, errors.WithMessage(err, "delta of the settings")
}
