package settings

import (
	"maps"
	"slices"
)

// Operation is the kind of a change.
type Operation string

// The operations.
const (
	OpSet    Operation = "set"    // set Key of Path to After
	OpUnset  Operation = "unset"  // remove the node's own value of Key
	OpCreate Operation = "create" // create Path, with Settings and missing parents
	OpRemove Operation = "remove" // remove Path, which must have no children
	OpMove   Operation = "move"   // move the subtree at Path to To
)

// Change is one step of an edit.
type Change struct {
	Op       Operation `json:"op"`
	Path     Path      `json:"path"`
	Key      KeyName   `json:"key,omitempty"`
	Before   string    `json:"before,omitempty"` // set by Apply; empty if the key had no value
	After    string    `json:"after,omitempty"`
	To       Path      `json:"to,omitempty"`
	Settings []Setting `json:"settings,omitempty"` // of a created node; set by Apply for a removed one
}

// Overlaps reports whether two changes concern the same key of the same node, or
// whether one changes the structure of the tree at or above a node of the other.
// Such changes are not merged: the later operator has to see the earlier change.
func (c Change) Overlaps(other Change) bool {
	if !c.changesStructure() && !other.changesStructure() {
		return c.Path == other.Path && c.Key == other.Key
	}
	for _, path := range c.affectedPaths() {
		for _, otherPath := range other.affectedPaths() {
			if path.Contains(otherPath) && c.changesStructure() || otherPath.Contains(path) && other.changesStructure() {
				return true
			}
		}
	}
	return false
}

func (c Change) changesStructure() bool { return c.Op != OpSet && c.Op != OpUnset }

func (c Change) affectedPaths() []Path {
	if c.Op == OpMove {
		return []Path{c.Path, c.To}
	}
	return []Path{c.Path}
}

// Apply returns the tree after the changes, with the same revision, and the
// changes with their previous values filled in. A change without effect is left
// out. The error lists all changes that cannot be applied to the tree; Apply
// doesn't check the values, Validate does.
func (t *Tree) Apply(changes []Change) (*Tree, []Change, error) {
	next := &Tree{revision: t.revision, nodes: maps.Clone(t.nodes)}
	var effective []Change
	var mistakes []Mistake
	for _, change := range changes {
		applied, changed, mistake := next.applyOne(change)
		switch {
		case mistake != nil:
			mistakes = append(mistakes, *mistake)
		case changed:
			effective = append(effective, applied)
		}
	}
	if err := asError(mistakes); err != nil {
		return nil, nil, err
	}
	return next, effective, nil
}

// applyOne modifies t in place. Apply calls it on its own copy of the tree.
func (t *Tree) applyOne(change Change) (Change, bool, *Mistake) {
	if !change.Path.Valid() {
		return change, false, &Mistake{Path: change.Path, Problem: "not a path", Allowed: segmentRule}
	}
	switch change.Op {
	case OpSet:
		return t.set(change)
	case OpUnset:
		return t.unset(change)
	case OpCreate:
		return t.create(change)
	case OpRemove:
		return t.remove(change)
	case OpMove:
		return t.move(change)
	default:
		return change, false, &Mistake{Path: change.Path, Value: string(change.Op), Problem: "not an operation"}
	}
}

func (t *Tree) set(change Change) (Change, bool, *Mistake) {
	found, ok := t.nodes[change.Path]
	if !ok {
		return change, false, missingNode(change)
	}
	before, had := found.get(change.Key)
	change.Before = before
	if had && before == change.After {
		return change, false, nil
	}
	t.nodes[change.Path] = found.with(change.Key, change.After)
	return change, true, nil
}

func (t *Tree) unset(change Change) (Change, bool, *Mistake) {
	found, ok := t.nodes[change.Path]
	if !ok {
		return change, false, missingNode(change)
	}
	before, had := found.get(change.Key)
	change.Before = before
	change.After = ""
	if !had {
		return change, false, nil
	}
	t.nodes[change.Path] = found.without(change.Key)
	return change, true, nil
}

func (t *Tree) create(change Change) (Change, bool, *Mistake) {
	if t.Has(change.Path) {
		return change, false, &Mistake{Path: change.Path, Problem: "the node exists already"}
	}
	t.ensureParents(change.Path)
	t.nodes[change.Path] = newNode(change.Settings)
	change.Settings = t.Settings(change.Path)
	return change, true, nil
}

// ensureParents creates the missing ancestors of a path, so that every node can
// be listed and edited.
func (t *Tree) ensureParents(path Path) {
	for parent := path.Parent(); !t.Has(parent); parent = parent.Parent() {
		t.nodes[parent] = &node{}
	}
}

func (t *Tree) remove(change Change) (Change, bool, *Mistake) {
	if !t.Has(change.Path) {
		return change, false, missingNode(change)
	}
	if change.Path == Root || change.Path == ServicesPath {
		return change, false, &Mistake{Path: change.Path, Problem: "the node cannot be removed"}
	}
	if len(t.subtree(change.Path)) > 1 {
		return change, false, &Mistake{Path: change.Path, Problem: "the node has nodes below it"}
	}
	change.Settings = t.Settings(change.Path)
	delete(t.nodes, change.Path)
	return change, true, nil
}

func (t *Tree) move(change Change) (Change, bool, *Mistake) {
	switch {
	case !t.Has(change.Path):
		return change, false, missingNode(change)
	case !change.To.Valid():
		return change, false, &Mistake{Path: change.To, Problem: "not a path", Allowed: segmentRule}
	case change.Path == Root || change.Path == ServicesPath:
		return change, false, &Mistake{Path: change.Path, Problem: "the node cannot be moved"}
	case change.Path.Contains(change.To):
		return change, false, &Mistake{Path: change.Path, Value: string(change.To), Problem: "a node cannot move to a place below itself"}
	case t.Has(change.To):
		return change, false, &Mistake{Path: change.To, Problem: "the node exists already"}
	}
	t.ensureParents(change.To)
	for _, path := range t.subtree(change.Path) {
		t.nodes[path.rebase(change.Path, change.To)] = t.nodes[path]
		delete(t.nodes, path)
	}
	return change, true, nil
}

func missingNode(change Change) *Mistake {
	return &Mistake{Path: change.Path, Key: change.Key, Value: change.After, Problem: "there is no such node"}
}

// Diff returns the changes that turn one tree into another.
func Diff(from, to *Tree) []Change {
	var changes []Change
	removed := slices.Clone(from.Paths())
	slices.Reverse(removed)
	for _, path := range removed {
		if !to.Has(path) {
			changes = append(changes, Change{Op: OpRemove, Path: path, Settings: from.Settings(path)})
		}
	}
	for _, path := range to.Paths() {
		if !from.Has(path) {
			changes = append(changes, Change{Op: OpCreate, Path: path, Settings: to.Settings(path)})
			continue
		}
		changes = append(changes, diffNode(path, from.nodes[path], to.nodes[path])...)
	}
	return changes
}

func diffNode(path Path, from, to *node) []Change {
	var changes []Change
	for _, setting := range from.settings {
		if _, ok := to.get(setting.Key); !ok {
			changes = append(changes, Change{Op: OpUnset, Path: path, Key: setting.Key, Before: setting.Value})
		}
	}
	for _, setting := range to.settings {
		before, ok := from.get(setting.Key)
		if !ok || before != setting.Value {
			changes = append(changes, Change{Op: OpSet, Path: path, Key: setting.Key, Before: before, After: setting.Value})
		}
	}
	return changes
}
