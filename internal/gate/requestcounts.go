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
	t := &requestCounts{}
	t.reset()
	return t
}

func (t *requestCounts) reset() {
	t.routes = make(map[string]*RouteCounts)
	t.accounts = make(map[fleet.Account]*AccountCounts)
}

// addRequested counts a request that has arrived.
func (t *requestCounts) addRequested(request *Request) {
	if !request.countsTowardShare() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.account(request.Account.Name).Requested += int64(request.Prompt.Cost())
}

// addEnd counts the end of a request.
func (t *requestCounts) addEnd(request *Request, count func(route *RouteCounts)) {
	name := ""
	if request != nil && request.Route != nil {
		name = request.Route.Name
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	route := t.routes[name]
	if route == nil {
		route = &RouteCounts{}
		t.routes[name] = route
	}
	count(route)
}

// addAnswer counts an answer.
func (t *requestCounts) addAnswer(request *Request, success, late bool) {
	t.addEnd(request, func(route *RouteCounts) {
		switch {
		case !success:
			route.Failed++
		case late:
			route.Late++
		default:
			route.InTime++
		}
		if success && request.countsTowardShare() {
			t.account(request.Account.Name).Served += int64(request.Prompt.Cost())
		}
	})
}

// addRefusal counts a refusal.
func (t *requestCounts) addRefusal(request *Request, reason Reason) {
	t.addEnd(request, func(route *RouteCounts) {
		if route.Refused == nil {
			route.Refused = make(map[Reason]int)
		}
		route.Refused[reason]++
	})
}

func (t *requestCounts) account(name fleet.Account) *AccountCounts {
	counts := t.accounts[name]
	if counts == nil {
		counts = &AccountCounts{Account: name}
		t.accounts[name] = counts
	}
	return counts
}

// write logs what was counted since the last call, together with the given fields, and
// resets the counts.
func (t *requestCounts) write(logger logrus.FieldLogger, fields logrus.Fields) {
	t.mu.Lock()
	routes, accounts := t.routes, t.accounts
	t.reset()
	t.mu.Unlock()
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
