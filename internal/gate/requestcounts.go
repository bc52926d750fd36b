package gate

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// maxListedAccounts bounds the accounts in one log entry to those that requested most. The
// others are added up, so that an entry stays small with thousands of accounts.
const maxListedAccounts = 40

// otherAccounts stands for the accounts beyond maxListedAccounts.
const otherAccounts fleet.Account = "(others)"

// RouteCounts counts the outcomes of the requests of one route that ended within a second.
type RouteCounts struct {
	InTime       int            `json:"in_time,omitempty"`
	Late         int            `json:"late,omitempty"`
	Failed       int            `json:"failed,omitempty"`
	Disconnected int            `json:"left,omitempty"` // callers that disconnected
	Refused      map[Reason]int `json:"refused,omitempty"`
	// Streams compares streams that callers take up with new ones, nil if the route's streams
	// can't be taken up.
	Streams *StreamCounts `json:"streams,omitempty"`
}

// StreamCounts counts requests for streams, by when they came, and those that brought events, by
// when the first one came.
type StreamCounts struct {
	New     int `json:"new,omitempty"`
	Began   int `json:"began,omitempty"` // new ones with an event
	TakenUp int `json:"taken_up,omitempty"`
	WentOn  int `json:"went_on,omitempty"` // taken up, with an event
}

// AccountCounts counts the tokens that an account requested within a second, and the tokens
// of its requests that were answered in it.
type AccountCounts struct {
	Account   fleet.Account `json:"account"`
	Requested int64         `json:"asked"`
	Served    int64         `json:"served"`
}

// requestCounts counts requests until the counts are logged. Log entries on single requests
// are sampled when there are many; these counts are complete under any load. Its methods
// may be called concurrently.
type requestCounts struct {
	mu       sync.Mutex
	routes   map[string]*RouteCounts
	accounts map[fleet.Account]*AccountCounts
}

func newRequestCounts() *requestCounts {
	counts := &requestCounts{}
	counts.reset()
	return counts
}

func (c *requestCounts) reset() {
	c.routes = make(map[string]*RouteCounts)
	c.accounts = make(map[fleet.Account]*AccountCounts)
}

// addRequested counts a request that has arrived.
func (c *requestCounts) addRequested(request *Request) {
	if !request.countsTowardShare() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account(request.Account.Name).Requested += int64(request.Prompt.Cost())
}

// count changes the counts of the request's route.
func (c *requestCounts) count(request *Request, change func(route *RouteCounts)) {
	name := ""
	if request != nil && request.Route != nil {
		name = request.Route.Name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	route := c.routes[name]
	if route == nil {
		route = &RouteCounts{}
		c.routes[name] = route
	}
	change(route)
}

// addStream counts a request for a stream that can be taken up; began says that its first event
// has come, rather than the request.
func (c *requestCounts) addStream(request *Request, began bool) {
	c.count(request, func(route *RouteCounts) {
		if route.Streams == nil {
			route.Streams = &StreamCounts{}
		}
		switch takenUp := request.takenUp(); {
		case takenUp && began:
			route.Streams.WentOn++
		case takenUp:
			route.Streams.TakenUp++
		case began:
			route.Streams.Began++
		default:
			route.Streams.New++
		}
	})
}

// addAnswer counts an answer.
func (c *requestCounts) addAnswer(request *Request, success, late bool) {
	c.count(request, func(route *RouteCounts) {
		switch {
		case !success:
			route.Failed++
		case late:
			route.Late++
		default:
			route.InTime++
		}
		if success && request.countsTowardShare() {
			c.account(request.Account.Name).Served += int64(request.Prompt.Cost())
		}
	})
}

// addRefusal counts a refusal.
func (c *requestCounts) addRefusal(request *Request, reason Reason) {
	c.count(request, func(route *RouteCounts) {
		if route.Refused == nil {
			route.Refused = make(map[Reason]int)
		}
		route.Refused[reason]++
	})
}

func (c *requestCounts) account(name fleet.Account) *AccountCounts {
	counts := c.accounts[name]
	if counts == nil {
		counts = &AccountCounts{Account: name}
		c.accounts[name] = counts
	}
	return counts
}

// write logs what was counted since the last call, together with the given fields, and
// resets the counts.
func (c *requestCounts) write(logger logrus.FieldLogger, fields logrus.Fields) {
	c.mu.Lock()
	routes, accounts := c.routes, c.accounts
	c.reset()
	c.mu.Unlock()
	if len(routes)+len(accounts) == 0 {
		return
	}
	fields["routes"] = routes
	fields["accounts"] = largest(accounts)
	event.GateRequestCounts.Log(logger, fields)
}

// largest returns the accounts that requested most, and the sum of the others.
func largest(accounts map[fleet.Account]*AccountCounts) []AccountCounts {
	all := make([]AccountCounts, 0, len(accounts))
	for _, account := range accounts {
		all = append(all, *account)
	}
	slices.SortFunc(all, func(a, b AccountCounts) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Account, b.Account))
	})
	if len(all) <= maxListedAccounts {
		return all
	}
	rest := AccountCounts{Account: otherAccounts}
	for _, account := range all[maxListedAccounts:] {
		rest.Requested += account.Requested
		rest.Served += account.Served
	}
	return append(all[:maxListedAccounts], rest)
}
