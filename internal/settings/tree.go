package settings

import (
	"cmp"
	"maps"
	"slices"
)

// Setting is a node's own value of a key.
type Setting struct {
	Key   KeyName `json:"key"`
	Value string  `json:"value"`
}

// node is a node of a tree with its own values in registry order. It is
// immutable.
type node struct {
	settings []Setting
}

// get returns the node's own value of a key.
func (n *node) get(key KeyName) (string, bool) {
	for _, setting := range n.settings {
		if setting.Key == key {
			return setting.Value, true
		}
	}
	return "", false
}

// with returns a copy of the node with a key set.
func (n *node) with(key KeyName, value string) *node {
	next := n.without(key)
	next.settings = append(next.settings, Setting{Key: key, Value: value})
	sortSettings(next.settings)
	return next
}

// without returns a copy of the node with a key unset.
func (n *node) without(key KeyName) *node {
	next := &node{settings: make([]Setting, 0, len(n.settings)+1)}
	for _, setting := range n.settings {
		if setting.Key != key {
			next.settings = append(next.settings, setting)
		}
	}
	return next
}

func newNode(settings []Setting) *node {
	sorted := slices.Clone(settings)
	sortSettings(sorted)
	return &node{settings: sorted}
}

func sortSettings(settings []Setting) {
	slices.SortFunc(settings, func(a, b Setting) int {
		return cmp.Or(cmp.Compare(a.Key.registryPosition(), b.Key.registryPosition()), cmp.Compare(a.Key, b.Key))
	})
}

// Tree is the settings at one revision. It is immutable: Apply returns a new tree
// that shares all unchanged nodes with the old one.
type Tree struct {
	revision uint64
	nodes    map[Path]*node
}

// NewTree returns the tree at revision 0, which consists of the root and
// ServicesPath.
func NewTree() *Tree {
	return &Tree{nodes: map[Path]*node{Root: {}, ServicesPath: {}}}
}

// Revision returns the number of accepted edits that led to the tree.
func (t *Tree) Revision() uint64 { return t.revision }

// WithRevision returns the same tree with another revision.
func (t *Tree) WithRevision(revision uint64) *Tree {
	return &Tree{revision: revision, nodes: t.nodes}
}

// Has reports whether a node exists.
func (t *Tree) Has(path Path) bool {
	_, ok := t.nodes[path]
	return ok
}

// Get returns a node's own value of a key, not an inherited one.
func (t *Tree) Get(path Path, key KeyName) (string, bool) {
	found, ok := t.nodes[path]
	if !ok {
		return "", false
	}
	return found.get(key)
}

// Settings returns a node's own values in registry order.
func (t *Tree) Settings(path Path) []Setting {
	found, ok := t.nodes[path]
	if !ok {
		return nil
	}
	return slices.Clone(found.settings)
}

// Paths lists all nodes: the root first, the others sorted by path.
func (t *Tree) Paths() []Path {
	return slices.SortedFunc(maps.Keys(t.nodes), comparePaths)
}

func comparePaths(a, b Path) int {
	if a == Root || b == Root {
		return cmp.Compare(a.Depth(), b.Depth())
	}
	return cmp.Compare(a, b)
}

// subtree lists a node and all nodes below it, parents before children.
func (t *Tree) subtree(path Path) []Path {
	var inside []Path
	for candidate := range t.nodes {
		if path.Contains(candidate) {
			inside = append(inside, candidate)
		}
	}
	slices.SortFunc(inside, comparePaths)
	return inside
}

// Kind returns the kind of a node. It depends only on the path and on the node's
// own value of KeyNode.
func (t *Tree) Kind(path Path) NodeKind {
	switch {
	case path == Root:
		return NodeRoot
	case path == ServicesPath:
		return NodeServices
	case path.inServices():
		return NodeService
	}
	if kind, ok := t.Get(path, KeyNode); ok {
		return NodeKind(kind)
	}
	switch path.Depth() {
	case organisationDepth:
		return NodeOrganisation
	case teamDepth:
		return NodeTeam
	default:
		return NodeAccount
	}
}

// Equal reports whether two trees have the same nodes and values. It ignores the
// revisions.
func (t *Tree) Equal(other *Tree) bool {
	return maps.EqualFunc(t.nodes, other.nodes, func(a, b *node) bool {
		return a == b || slices.Equal(a.settings, b.settings)
	})
}
