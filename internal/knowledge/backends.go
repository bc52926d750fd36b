package knowledge

import (
	"cmp"
	"maps"
	"slices"

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
}

func cloneBackends(backends map[string]*Backend) map[string]*Backend {
	return maps.Clone(backends)
}

func sameBackends(a, b map[string]*Backend) bool {
	return maps.EqualFunc(a, b, func(x, y *Backend) bool { return *x == *y })
}
