package knowledge

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Index answers the questions that each request asks of a configuration.
type Index struct {
	Configuration *Configuration
	hosts         map[string][]*Route // longest prefix first
	keys          map[string]*Account
	services      map[fleet.Service]*ServiceSettings
	priorities    map[fleet.Service][]int         // in use at a service, the most urgent first
	tightest      map[fleet.Service]time.Duration // shortest target latency
	gaps          map[fleet.Service]time.Duration // shortest target gap
}

// NewIndex prepares a configuration. The configuration must not change any
// more.
func NewIndex(configuration *Configuration) *Index {
	index := &Index{
		Configuration: configuration,
		hosts:         make(map[string][]*Route),
		keys:          make(map[string]*Account),
		services:      make(map[fleet.Service]*ServiceSettings),
		priorities:    prioritiesOf(configuration),
		tightest:      shortestOf(configuration, func(route *Route) time.Duration { return route.TargetLatency }),
		gaps:          shortestOf(configuration, func(route *Route) time.Duration { return route.TargetGap }),
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := CanonicalHost(route.Host)
		index.hosts[host] = append(index.hosts[host], route)
	}
	for _, routes := range index.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range configuration.Accounts {
		account := &configuration.Accounts[i]
		for _, key := range account.Keys {
			index.keys[key] = account
		}
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		index.services[service.Name] = service
	}
	return index
}

// CanonicalHost returns a host in lower case and without its port. Hosts are
// compared without regard to case.
func CanonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Route returns the route of the host whose prefix is the longest that begins
// the path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, route := range x.hosts[CanonicalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Account returns the account that holds the key, or nil.
func (x *Index) Account(key string) *Account { return x.keys[key] }

// Service returns the settings of a service, or nil.
func (x *Index) Service(name fleet.Service) *ServiceSettings { return x.services[name] }

// Rank returns how many priorities in use at the service are more urgent than
// the request's: that of its account, or of its route where the account has
// none.
func (x *Index) Rank(service fleet.Service, route *Route, account *Account) int {
	priority := route.Priority
	if account != nil && account.Priority != nil {
		priority = *account.Priority
	}
	rank, _ := slices.BinarySearch(x.priorities[service], priority)
	return rank
}

// prioritiesOf returns the priorities that requests may have at each service.
func prioritiesOf(configuration *Configuration) map[fleet.Service][]int {
	priorities := make(map[fleet.Service][]int)
	for _, route := range configuration.Routes {
		for _, destination := range route.Destinations {
			known := append(priorities[destination.Service], route.Priority)
			if !route.Public {
				known = append(known, accountPriorities(configuration)...)
			}
			slices.Sort(known)
			priorities[destination.Service] = slices.Compact(known)
		}
	}
	return priorities
}

func accountPriorities(configuration *Configuration) []int {
	var priorities []int
	for _, account := range configuration.Accounts {
		if account.Priority != nil {
			priorities = append(priorities, *account.Priority)
		}
	}
	return priorities
}

// MinTargetLatency returns the shortest target latency of the service's routes, 0 if
// none has one.
func (x *Index) MinTargetLatency(service fleet.Service) time.Duration { return x.tightest[service] }

// MinTargetGap returns the shortest target gap between two events of the service's routes, 0 if
// none has one.
func (x *Index) MinTargetGap(service fleet.Service) time.Duration { return x.gaps[service] }

// shortestOf returns the shortest time that routes to each service have, leaving out 0.
func shortestOf(configuration *Configuration, timeOf func(*Route) time.Duration) map[fleet.Service]time.Duration {
	shortest := make(map[fleet.Service]time.Duration)
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		has := timeOf(route)
		for _, destination := range route.Destinations {
			known := shortest[destination.Service]
			if has > 0 && (known == 0 || has < known) {
				shortest[destination.Service] = has
			}
		}
	}
	return shortest
}

// Destination returns the service that takes a request of the route. point in
// [0, 1) picks among several by their weights.
func (r *Route) Destination(point float64) (fleet.Service, bool) {
	total := 0
	for _, destination := range r.Destinations {
		total += destination.Weight
	}
	left := point * float64(total)
	for _, destination := range r.Destinations {
		left -= float64(destination.Weight)
		if left < 0 {
			return destination.Service, true
		}
	}
	return "", false
}
