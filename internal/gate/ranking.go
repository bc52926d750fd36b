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

// ranking orders the engines of a service for the parts of prompts.
type ranking struct {
	// weighted tells that engines are preferred by their speed.
	weighted bool
	snapshot *pace.Snapshot
	exponent float64 // of the speed
	cache    *listCache
}

// rank returns the positions in the list of the engines that the part prefers most, the
// first one first: so many, or fewer when the list is shorter.
func (r ranking) rank(list []*knowledge.Backend, part string, most int) []int {
	if !r.weighted {
		return selection.Rank(list, idHash, selection.Hash(part), most)
	}
	return selection.RankWeighted(list, idHash, r.cache.weights(list, r), selection.Hash(part), most)
}

// rankDrawn is like rank for a list that was drawn from a kept one, in its order.
func (r ranking) rankDrawn(list, kept []*knowledge.Backend, part string, most int) []int {
	if !r.weighted {
		return r.rank(list, part, most)
	}
	weights, ok := drawWeights(list, kept, r.cache.weights(kept, r))
	if !ok {
		weights = r.weigh(list)
	}
	return selection.RankWeighted(list, idHash, weights, selection.Hash(part), most)
}

// drawWeights returns the weights of the engines of a list that was drawn from a kept
// one, given those of the kept one. It returns false if the list has other engines or
// another order.
func drawWeights(list, kept []*knowledge.Backend, weights []float64) ([]float64, bool) {
	drawn := make([]float64, 0, len(list))
	for i, backend := range kept {
		if len(drawn) < len(list) && list[len(drawn)] == backend {
			drawn = append(drawn, weights[i])
		}
	}
	return drawn, len(drawn) == len(list)
}

// sameList tells whether both are one list.
func sameList(a, b []*knowledge.Backend) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// weigh returns the weights of the engines in the order of the list.
func (r ranking) weigh(list []*knowledge.Backend) []float64 {
	return lo.Map(list, func(backend *knowledge.Backend, _ int) float64 {
		return policy.EngineWeight(r.snapshot.Engine(backend.IncarnationHash).Speed(), r.exponent)
	})
}

// listCacheMost bounds the cached lists. Each view has a few for each service.
const listCacheMost = 64

// listCache keeps what follows from whole lists of engines, so that requests do not work
// it out for hundreds of engines each. It is for the lists of views, and those that it
// returns: lists that are built for single requests would fill it and never be found
// again. Its methods may be called concurrently.
type listCache struct {
	mu       sync.Mutex
	snapshot *pace.Snapshot
	weighed  map[weighedKey]weighedList
	near     map[**knowledge.Backend]nearList
}

// weighedKey names a list by its first element.
type weighedKey struct {
	list     **knowledge.Backend
	exponent float64
}

// weighedList holds on to its list, so that no other list gets its address.
type weighedList struct {
	list    []*knowledge.Backend
	weights []float64
}

type nearList struct {
	list []*knowledge.Backend
	near []*knowledge.Backend
}

func newListCache() *listCache {
	return &listCache{weighed: make(map[weighedKey]weighedList), near: make(map[**knowledge.Backend]nearList)}
}

// weights returns the weights of the engines in the order of the list.
func (c *listCache) weights(list []*knowledge.Backend, by ranking) []float64 {
	if len(list) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != by.snapshot || len(c.weighed) >= listCacheMost {
		clear(c.weighed)
		c.snapshot = by.snapshot
	}
	key := weighedKey{list: &list[0], exponent: by.exponent}
	if known := c.weighed[key]; len(known.list) == len(list) {
		return known.weights
	}
	weights := by.weigh(list)
	c.weighed[key] = weighedList{list: list, weights: weights}
	return weights
}

// inZone returns the engines of the list that stand in the availability zone, which must
// be the same in all calls.
func (c *listCache) inZone(list []*knowledge.Backend, zone fleet.Zone) []*knowledge.Backend {
	if len(list) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.near) >= listCacheMost {
		clear(c.near)
	}
	if known := c.near[&list[0]]; len(known.list) == len(list) {
		return known.near
	}
	near := inZone(list, zone)
	c.near[&list[0]] = nearList{list: list, near: near}
	return near
}

// inZone returns the engines of the list that stand in the availability zone.
func inZone(list []*knowledge.Backend, zone fleet.Zone) []*knowledge.Backend {
	return lo.Filter(list, func(backend *knowledge.Backend, _ int) bool { return backend.Zone == zone })
}
