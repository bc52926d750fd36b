package knowledge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// setBackends replaces the list and groups it by service.
func (v *View) setBackends(backends map[string]*Backend) {
	v.Backends = backends
	v.ByService = make(map[fleet.Service][]*Backend)
	for _, backend := range backends {
		v.ByService[backend.Service] = append(v.ByService[backend.Service], backend)
	}
	for _, group := range v.ByService {
		slices.SortFunc(group, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	}
	v.Digest = digest(backends)
}

// digest returns a value that lists with the same entries share.
func digest(backends map[string]*Backend) uint64 {
	sum := uint64(len(backends))
	for id, backend := range backends {
		entry := fmt.Sprintf("%s %s %s %t", id, backend.Service, backend.Address, backend.Leaving)
		sum += xxhash.Sum64String(entry) // the order does not matter
	}
	return sum
}

func cloneBackends(backends map[string]*Backend) map[string]*Backend {
	return maps.Clone(backends)
}

func sameBackends(a, b map[string]*Backend) bool {
	return maps.EqualFunc(a, b, func(x, y *Backend) bool { return *x == *y })
}
