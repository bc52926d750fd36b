package settings

import (
	"cmp"
	"maps"
	"slices"
)

// Setting is one value that a node sets itself.
type Setting struct {
	Key   KeyName `json:"key"`
	Value string  `json:"value"`
}

// node is one node of a tree with what it sets itself, in registry order. It
// is immutable.
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

// with returns the node with a key set.
func (n *node) with(key KeyName, value string) *node {
	next := n.without(key)
	next.settings = append(next.settings, Setting{Key: key, Value: value})
	sortSettings(next.settings)
	return next
}

// without returns the node with a key unset.
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
	own := slices.Clone(settings)
	sortSettings(own)
	return &node{settings: own}
}

func sortSettings(settings []Setting) {
	slices.SortFunc(settings, func(a, b Setting) int {
		return cmp.Or(cmp.Compare(a.Key.order(), b.Key.order()), cmp.Compare(a.Key, b.Key))
	})
}

// Tree is the settings at one revision. It is immutable: Apply returns a new
// tree that shares all unchanged nodes.
type Tree struct {
	revision uint64
	nodes    map[Path]*node
}

// NewTree returns the tree of revision 0, which has only the root and the node
// of the services.
func NewTree() *Tree {
	return &Tree{nodes: map[Path]*node{Root: {}, ServicesPath: {}}}
}

// Revision counts the accepted edits that led to the tree.
func (t *Tree) Revision() uint64 { return t.revision }

// WithRevision returns the same tree under another revision.
func (t *Tree) WithRevision(revision uint64) *Tree {
	return &Tree{revision: revision, nodes: t.nodes}
}

// Has reports whether a node exists.
func (t *Tree) Has(path Path) bool {
	_, ok := t.nodes[path]
	return ok
}

// Get returns a node's own value of a key, without what it inherits.
func (t *Tree) Get(path Path, key KeyName) (string, bool) {
	found, ok := t.nodes[path]
	if !ok {
		return "", false
	}
	return found.get(key)
}

// Settings returns what a node sets itself, in registry order.
func (t *Tree) Settings(path Path) []Setting {
	found, ok := t.nodes[path]
	if !ok {
		return nil
	}
	return slices.Clone(found.settings)
}

// Paths lists all nodes: the root first, then in the order of their paths.
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

// Kind tells what a node stands for. It depends on the path and on the node's
// own key "node" only.
func (t *Tree) Kind(path Path) NodeKind {
	switch {
	case path == Root:
		return NodeRoot
	case path == ServicesPath:
		return NodeServices
	case path.isService():
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

// Equal reports whether two trees hold the same nodes and values; revisions
// are not compared.
func (t *Tree) Equal(other *Tree) bool {
	return maps.EqualFunc(t.nodes, other.nodes, func(a, b *node) bool {
		return a == b || slices.Equal(a.settings, b.settings)
	})
}
