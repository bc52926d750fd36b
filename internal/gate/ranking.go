package gate

import (
	"sync"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// ranking orders the engines of a service by rendezvous hashing for prompt segments.
type ranking struct {
	// weighted means that faster engines get larger weights.
	weighted bool
	snapshot *pace.Snapshot
	exponent float64 // of the speed
	cache    *listCache
}

// rank returns the positions in the list of the engines that the segment prefers, best
// first: limit of them, or fewer if the list is shorter.
func (r ranking) rank(list []*knowledge.Backend, segment string, limit int) []int {
	if !r.weighted {
		return selection.Rank(list, backendIDHash, selection.Hash(segment), limit)
	}
	return selection.RankWeighted(list, backendIDHash, r.cache.weights(list, r), selection.Hash(segment), limit)
}

// rankFiltered is like rank for a list that was filtered from the full one, in the same
// order.
func (r ranking) rankFiltered(filtered, full []*knowledge.Backend, segment string, limit int) []int {
	if !r.weighted {
		return r.rank(filtered, segment, limit)
	}
	weights, ok := filterWeights(filtered, full, r.cache.weights(full, r))
	if !ok {
		weights = r.weigh(filtered)
	}
	return selection.RankWeighted(filtered, backendIDHash, weights, selection.Hash(segment), limit)
}

// filterWeights returns the weights of the engines of a list that was filtered from the
// full one, given the weights of the full list. It returns false if the filtered list has
// other engines or another order.
func filterWeights(filtered, full []*knowledge.Backend, weights []float64) ([]float64, bool) {
	selected := make([]float64, 0, len(filtered))
	for i, backend := range full {
		if len(selected) < len(filtered) && filtered[len(selected)] == backend {
			selected = append(selected, weights[i])
		}
	}
	return selected, len(selected) == len(filtered)
}

// sameList reports whether both slices are the same list in memory.
func sameList(a, b []*knowledge.Backend) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// weigh returns the weights of the engines in the order of the list.
func (r ranking) weigh(list []*knowledge.Backend) []float64 {
	return lo.Map(list, func(backend *knowledge.Backend, _ int) float64 {
		return policy.EngineWeight(r.snapshot.Engine(backend.IncarnationHash).Speed(), r.exponent)
	})
}

// maxCachedLists bounds the cached lists. Each view has a few for each service.
const maxCachedLists = 64

// listCache caches figures derived from complete lists of engines, so that requests do not
// compute them for hundreds of engines each. It is meant for the lists of views and the
// lists that it returns: lists that are built for single requests would fill it and never
// be found again. Its methods may be called concurrently.
type listCache struct {
	mu       sync.Mutex
	snapshot *pace.Snapshot
	weighed  map[weighedKey]weighedList
	ownZone  map[**knowledge.Backend]zoneList
}

// weighedKey identifies a list by the address of its first element.
type weighedKey struct {
	list     **knowledge.Backend
	exponent float64
}

// weighedList refers to its list, so that no other list gets the same address.
type weighedList struct {
	list    []*knowledge.Backend
	weights []float64
}

type zoneList struct {
	list   []*knowledge.Backend
	inZone []*knowledge.Backend
}

func newListCache() *listCache {
	return &listCache{weighed: make(map[weighedKey]weighedList), ownZone: make(map[**knowledge.Backend]zoneList)}
}

// weights returns the weights of the engines in the order of the list.
func (c *listCache) weights(list []*knowledge.Backend, by ranking) []float64 {
	if len(list) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != by.snapshot || len(c.weighed) >= maxCachedLists {
		clear(c.weighed)
		c.snapshot = by.snapshot
	}
	key := weighedKey{list: &list[0], exponent: by.exponent}
	if cached := c.weighed[key]; len(cached.list) == len(list) {
		return cached.weights
	}
	weights := by.weigh(list)
	c.weighed[key] = weighedList{list: list, weights: weights}
	return weights
}

// inZone returns the engines of the list in the availability zone, which must be the same
// in all calls.
func (c *listCache) inZone(list []*knowledge.Backend, zone fleet.Zone) []*knowledge.Backend {
	if len(list) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ownZone) >= maxCachedLists {
		clear(c.ownZone)
	}
	if cached := c.ownZone[&list[0]]; len(cached.list) == len(list) {
		return cached.inZone
	}
	engines := inZone(list, zone)
	c.ownZone[&list[0]] = zoneList{list: list, inZone: engines}
	return engines
}

// inZone returns the engines of the list in the availability zone.
func inZone(list []*knowledge.Backend, zone fleet.Zone) []*knowledge.Backend {
	return lo.Filter(list, func(backend *knowledge.Backend, _ int) bool { return backend.Zone == zone })
}
