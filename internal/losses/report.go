package losses

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// Counts are numbers of requests by outcome.
type Counts struct {
	InTime       int                 `json:"in_time"`
	Late         int                 `json:"late"`
	Failed       int                 `json:"failed"`
	Disconnected int                 `json:"left"`
	Refused      map[gate.Reason]int `json:"refused,omitempty"`
}

// Total returns the number of requests.
func (c *Counts) Total() int { return c.InTime + c.Late + c.Failed + c.Disconnected + c.TotalRefused() }

// TotalRefused returns the number of refusals over all reasons.
func (c *Counts) TotalRefused() int {
	total := 0
	for _, count := range c.Refused {
		total += count
	}
	return total
}

func (c *Counts) add(counts gate.RouteCounts) {
	c.InTime += counts.InTime
	c.Late += counts.Late
	c.Failed += counts.Failed
	c.Disconnected += counts.Disconnected
	for reason, count := range counts.Refused {
		if c.Refused == nil {
			c.Refused = make(map[gate.Reason]int)
		}
		c.Refused[reason] += count
	}
}

// Tokens are an account's requested, owed and served tokens. Prompt tokens
// count once and generated ones twice. A request that is refused and retried
// counts as asked each time.
type Tokens struct {
	Asked  float64 `json:"asked"`
	Owed   float64 `json:"owed"` // max-min fair share of the stated capacity
	Served float64 `json:"served"`
	// Missed is what was owed and not served, summed over the share windows.
	Missed float64 `json:"missed"`
}

// Second holds the counts of all routers in one second.
type Second struct {
	At time.Time `json:"at"`
	Counts
	Asked, Served float64
	// Shortage is the largest fraction of the stated capacity that engines
	// lacked at any router, and Headroom the smallest fraction of the budgets
	// that any router used.
	Shortage float64 `json:"shortage"`
	Headroom float64 `json:"headroom"`
}

// Report sums up the logs of all routers.
type Report struct {
	Seconds  []*Second                 `json:"seconds"`
	Routes   map[string]*Counts        `json:"routes"`
	Accounts map[fleet.Account]*Tokens `json:"accounts"`
	Capacity float64                   `json:"capacity"` // stated, tokens per second

	bySecond     map[int64]*Second
	shareWindows map[int64]map[fleet.Account]*Tokens
}

// shareWindowSeconds is the time over which fair shares are computed. Accounts
// may have to wait as long as this for their share.
const shareWindowSeconds = 4

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Routes:       make(map[string]*Counts),
		Accounts:     make(map[fleet.Account]*Tokens),
		bySecond:     make(map[int64]*Second),
		shareWindows: make(map[int64]map[fleet.Account]*Tokens),
	}
}

// countsRecord is a record of event.GateRequestCounts.
type countsRecord struct {
	Routes   map[string]gate.RouteCounts `json:"routes"`
	Accounts []gate.AccountCounts        `json:"accounts"`
	Capacity float64                     `json:"capacity"`
	Shortage float64                     `json:"shortage"`
	Headroom map[string]float64          `json:"headroom"`
}

// Add adds the record's counts to the report. It ignores records of other events.
func (r *Report) Add(record Record) error {
	if record.Event != event.GateRequestCounts.Number {
		return nil
	}
	var logged countsRecord
	if err := json.Unmarshal(record.Raw, &logged); err != nil {
		return errors.WithStack(err)
	}
	r.Capacity = max(r.Capacity, logged.Capacity)
	second := r.second(record.Time)
	second.Shortage = max(second.Shortage, logged.Shortage)
	for _, headroom := range logged.Headroom {
		second.Headroom = min(second.Headroom, headroom)
	}
	for name, counts := range logged.Routes {
		second.add(counts)
		route := r.Routes[name]
		if route == nil {
			route = &Counts{}
			r.Routes[name] = route
		}
		route.add(counts)
	}
	accounts := r.shareWindow(record.Time)
	for _, account := range logged.Accounts {
		second.Asked += float64(account.Requested)
		second.Served += float64(account.Served)
		tokens := accounts[account.Account]
		if tokens == nil {
			tokens = &Tokens{}
			accounts[account.Account] = tokens
		}
		tokens.Asked += float64(account.Requested)
		tokens.Served += float64(account.Served)
	}
	return nil
}

func (r *Report) second(at time.Time) *Second {
	known := r.bySecond[at.Unix()]
	if known == nil {
		known = &Second{At: at.Truncate(time.Second), Headroom: 1}
		r.bySecond[at.Unix()] = known
	}
	return known
}

func (r *Report) shareWindow(at time.Time) map[fleet.Account]*Tokens {
	index := at.Unix() / shareWindowSeconds
	if r.shareWindows[index] == nil {
		r.shareWindows[index] = make(map[fleet.Account]*Tokens)
	}
	return r.shareWindows[index]
}

// Finish computes the fair shares after all records were added.
func (r *Report) Finish() {
	r.Seconds = slices.SortedFunc(maps.Values(r.bySecond), func(a, b *Second) int { return cmp.Compare(a.At.Unix(), b.At.Unix()) })
	for _, accounts := range r.shareWindows {
		asked := make([]float64, 0, len(accounts))
		for _, tokens := range accounts {
			asked = append(asked, tokens.Asked)
		}
		fairShare := shares.MaxMinShare(asked, r.Capacity*shareWindowSeconds)
		for name, tokens := range accounts {
			owed := min(tokens.Asked, fairShare)
			total := r.Accounts[name]
			if total == nil {
				total = &Tokens{}
				r.Accounts[name] = total
			}
			total.Asked += tokens.Asked
			total.Owed += owed
			total.Served += tokens.Served
			total.Missed += max(owed-tokens.Served, 0)
		}
	}
}
