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

// Counts are what became of requests.
type Counts struct {
	InTime       int                 `json:"in_time"`
	Late         int                 `json:"late"`
	Failed       int                 `json:"failed"`
	Disconnected int                 `json:"left"` // callers that left
	Refused      map[gate.Reason]int `json:"refused,omitempty"`
}

// Total returns the number of requests.
func (c *Counts) Total() int { return c.InTime + c.Late + c.Failed + c.Disconnected + c.TotalRefused() }

// TotalRefused returns the refusals of all reasons.
func (c *Counts) TotalRefused() int {
	all := 0
	for _, count := range c.Refused {
		all += count
	}
	return all
}

func (c *Counts) add(tally gate.RouteCounts) {
	c.InTime += tally.InTime
	c.Late += tally.Late
	c.Failed += tally.Failed
	c.Disconnected += tally.Disconnected
	for reason, count := range tally.Refused {
		if c.Refused == nil {
			c.Refused = make(map[gate.Reason]int)
		}
		c.Refused[reason] += count
	}
}

// Tokens are what was asked, owed and served, prompt tokens once and generated
// ones twice. A caller that is refused and returns asks twice.
type Tokens struct {
	Asked  float64 `json:"asked"`
	Owed   float64 `json:"owed"` // max-min share of the stated capacity
	Served float64 `json:"served"`
	// Missed is what was owed and not served, span by span.
	Missed float64 `json:"missed"`
}

// Second is what happened in one second at all routers.
type Second struct {
	At time.Time `json:"at"`
	Counts
	Asked, Served float64
	// Shortage is the greatest part of the stated capacity that the engines
	// lacked, and Headroom the least part of the budgets in use, at any router.
	Shortage float64 `json:"shortage"`
	Headroom float64 `json:"headroom"`
}

// Report is what the logs of all routers tell together.
type Report struct {
	Seconds  []*Second                 `json:"seconds"`
	Routes   map[string]*Counts        `json:"routes"`
	Accounts map[fleet.Account]*Tokens `json:"accounts"`
	Capacity float64                   `json:"capacity"` // stated, tokens a second

	bySecond map[int64]*Second
	spans    map[int64]map[fleet.Account]*Tokens
}

// span is the time over which shares are told, in seconds: as long as accounts
// may have to wait for theirs.
const span = 4

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Routes:   make(map[string]*Counts),
		Accounts: make(map[fleet.Account]*Tokens),
		bySecond: make(map[int64]*Second),
		spans:    make(map[int64]map[fleet.Account]*Tokens),
	}
}

// tallyRecord is a record of event.GateRequestCounts.
type tallyRecord struct {
	Routes   map[string]gate.RouteCounts `json:"routes"`
	Accounts []gate.AccountCounts        `json:"accounts"`
	Capacity float64                     `json:"capacity"`
	Shortage float64                     `json:"shortage"`
	Headroom map[string]float64          `json:"headroom"`
}

// Add adds a record up. Others than counts are passed over.
func (r *Report) Add(record Record) error {
	if record.Event != event.GateRequestCounts.Number {
		return nil
	}
	var tally tallyRecord
	if err := json.Unmarshal(record.Raw, &tally); err != nil {
		return errors.WithStack(err)
	}
	r.Capacity = max(r.Capacity, tally.Capacity)
	second := r.second(record.Time)
	second.Shortage = max(second.Shortage, tally.Shortage)
	for _, headroom := range tally.Headroom {
		second.Headroom = min(second.Headroom, headroom)
	}
	for name, counts := range tally.Routes {
		second.add(counts)
		route := r.Routes[name]
		if route == nil {
			route = &Counts{}
			r.Routes[name] = route
		}
		route.add(counts)
	}
	accounts := r.span(record.Time)
	for _, account := range tally.Accounts {
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

func (r *Report) span(at time.Time) map[fleet.Account]*Tokens {
	place := at.Unix() / span
	if r.spans[place] == nil {
		r.spans[place] = make(map[fleet.Account]*Tokens)
	}
	return r.spans[place]
}

// Finish works out what was owed, once all records are taken.
func (r *Report) Finish() {
	r.Seconds = slices.SortedFunc(maps.Values(r.bySecond), func(a, b *Second) int { return cmp.Compare(a.At.Unix(), b.At.Unix()) })
	for _, accounts := range r.spans {
		asked := make([]float64, 0, len(accounts))
		for _, tokens := range accounts {
			asked = append(asked, tokens.Asked)
		}
		level := shares.MaxMinShare(asked, r.Capacity*span)
		for name, tokens := range accounts {
			owed := min(tokens.Asked, level)
			whole := r.Accounts[name]
			if whole == nil {
				whole = &Tokens{}
				r.Accounts[name] = whole
			}
			whole.Asked += tokens.Asked
			whole.Owed += owed
			whole.Served += tokens.Served
			whole.Missed += max(owed-tokens.Served, 0)
		}
	}
}
