package knowledge

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Index holds lookup tables of a configuration for use by each request.
type Index struct {
	Configuration   *Configuration
	hosts           map[string][]*Route // longest prefix first
	keys            map[string]*Account
	services        map[fleet.Service]*ServiceSettings
	priorities      map[fleet.Service][]int         // in use at a service, most urgent first
	targetLatencies map[fleet.Service]time.Duration // shortest target latency
	targetGaps      map[fleet.Service]time.Duration // shortest target gap
}

// NewIndex indexes a configuration, which must not change afterwards.
func NewIndex(configuration *Configuration) *Index {
	index := &Index{
		Configuration:   configuration,
		hosts:           make(map[string][]*Route),
		keys:            make(map[string]*Account),
		services:        make(map[fleet.Service]*ServiceSettings),
		priorities:      prioritiesOf(configuration),
		targetLatencies: shortestOf(configuration, func(route *Route) time.Duration { return route.TargetLatency }),
		targetGaps:      shortestOf(configuration, func(route *Route) time.Duration { return route.TargetGap }),
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

// CanonicalHost returns the host in lower case and without its port, since hosts are
// compared without regard to case.
func CanonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Route returns the route of the host with the longest prefix that matches the path, or
// nil.
func (x *Index) Route(host, path string) *Route {
	for _, route := range x.hosts[CanonicalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Account returns the account that holds the key, or nil. No account holds the empty key, which is
// that of requests without one.
func (x *Index) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return x.keys[key]
}

// Service returns the settings of a service, or nil.
func (x *Index) Service(name fleet.Service) *ServiceSettings { return x.services[name] }

// Rank returns how many priorities in use at the service are more urgent than the
// request's. The priority of the account, if set, overrides that of the route.
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

// accountPriorities returns the priorities of the accounts that have one of their own.
func accountPriorities(configuration *Configuration) []int {
	var priorities []int
	for _, account := range configuration.Accounts {
		if account.Priority != nil {
			priorities = append(priorities, *account.Priority)
		}
	}
	return priorities
}

// MinTargetLatency returns the shortest target latency of the service's routes, 0 if none
// has one.
func (x *Index) MinTargetLatency(service fleet.Service) time.Duration {
	return x.targetLatencies[service]
}

// MinTargetGap returns the shortest target gap between two events of the service's routes,
// 0 if none has one.
func (x *Index) MinTargetGap(service fleet.Service) time.Duration { return x.targetGaps[service] }

// shortestOf returns the shortest nonzero duration among the routes to each service.
func shortestOf(configuration *Configuration, durationOf func(*Route) time.Duration) map[fleet.Service]time.Duration {
	shortest := make(map[fleet.Service]time.Duration)
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		duration := durationOf(route)
		for _, destination := range route.Destinations {
			known := shortest[destination.Service]
			if duration > 0 && (known == 0 || duration < known) {
				shortest[destination.Service] = duration
			}
		}
	}
	return shortest
}

// Destination returns the service for a request of the route. point, uniform in [0, 1),
// selects among several in proportion to their weights. It returns false if there is no
// destination with a weight.
func (r *Route) Destination(point float64) (fleet.Service, bool) {
	total := 0
	for _, destination := range r.Destinations {
		total += destination.Weight
	}
	remaining := point * float64(total)
	for _, destination := range r.Destinations {
		remaining -= float64(destination.Weight)
		if remaining < 0 {
			return destination.Service, true
		}
	}
	return "", false
}

// Services returns the services to which the route sends requests.
func (r *Route) Services() []fleet.Service {
	return lo.FilterMap(r.Destinations, func(destination Destination, _ int) (fleet.Service, bool) {
		return destination.Service, destination.Weight > 0
	})
}
