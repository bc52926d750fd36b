package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Rank orders nodes by rendezvous hashing for a key: a node's score depends
// only on the key and its own control address, so adding or removing a node
// does not change the order of the others.
func Rank(key string, nodes []fleet.Node) []fleet.Node {
	type scored struct {
		node  fleet.Node
		score uint64
	}
	all := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, scored{node: node, score: score(key, node.Control)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node.Control, b.node.Control))
	})
	ranked := make([]fleet.Node, len(all))
	for i, entry := range all {
		ranked[i] = entry.node
	}
	return ranked
}

func score(key string, address fleet.Address) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(address))
	return digest.Sum64()
}
