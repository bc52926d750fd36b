package load

import (
	"math"
	"slices"
)

// Gap is the largest difference of service between two accounts.
//
// An account is backlogged in a cell of the window when at least one of its
// requests waited at every moment of the cell: sent by the client, and not yet
// begun by an engine. For two accounts and a span of cells in which both are
// backlogged throughout, the gap is the largest change, between any two
// moments of the span, of the difference of what the two received divided by
// their weights. The result is the largest over all pairs and spans.
type Gap struct {
	Units          float64 // cost units per weight
	Accounts       [2]int
	From, To       int64   // the span's part over which the gap grew
	LargestRequest float64 // cost of the costliest request that ran
}

// InLargestRequests is the gap in multiples of the costliest request.
func (g Gap) InLargestRequests() float64 {
	if g.LargestRequest == 0 {
		return 0
	}
	return g.Units / g.LargestRequest
}

// Shares holds the curves from which fairness figures are read.
type Shares struct {
	window     Window
	curves     [][]float64 // service per weight at each cell's begin, by account
	backlogged [][]bool    // by account and cell
	largest    float64
}

// NewShares builds the service curves and backlogs. weights gives the weight
// of each account.
func NewShares(window Window, weights []float64, works []Work) *Shares {
	s := &Shares{window: window}
	for range weights {
		s.curves = append(s.curves, make([]float64, window.cells()+1))
		s.backlogged = append(s.backlogged, nil)
	}
	for _, work := range works {
		s.addService(work, weights[work.Account])
	}
	for account := range weights {
		s.backlogged[account] = backlog(window, account, works)
	}
	return s
}

// addService adds one request to its account's curve.
func (s *Shares) addService(work Work, weight float64) {
	if !work.ran() {
		return
	}
	s.largest = max(s.largest, work.Cost())
	curve := s.curves[work.Account]
	base := work.served(s.window.From)
	for cell := max(0, s.window.cellOf(work.Began)); cell < len(curve); cell++ {
		curve[cell] += (work.served(s.window.at(cell)) - base) / weight
	}
}

// backlog tells for each cell whether the account was backlogged throughout.
func backlog(window Window, account int, works []Work) []bool {
	var changes []change
	for _, work := range works {
		if work.Account != account || work.waitEnd() <= work.Sent {
			continue
		}
		changes = append(changes, change{work.Sent, 1}, change{work.waitEnd(), -1})
	}
	slices.SortFunc(changes, compareChanges)
	cells := make([]bool, window.cells())
	for i := range cells {
		cells[i] = true
	}
	idleFrom, waiting := int64(math.MinInt64), 0
	for _, c := range changes {
		if waiting == 0 {
			clearCells(window, cells, idleFrom, c.at)
		}
		waiting += c.delta
		if waiting == 0 {
			idleFrom = c.at
		}
	}
	clearCells(window, cells, idleFrom, math.MaxInt64)
	return cells
}

// clearCells marks the cells that an idle span touches.
func clearCells(window Window, cells []bool, from, to int64) {
	if to <= from {
		return
	}
	first := 0
	if from > window.From {
		first = window.cellOf(from)
	}
	for cell := first; cell < len(cells) && window.at(cell) < to; cell++ {
		cells[cell] = false
	}
}

// Gap returns the fairness gap over all pairs of accounts.
func (s *Shares) Gap() Gap {
	var worst Gap
	for a := range s.curves {
		for b := a + 1; b < len(s.curves); b++ {
			if gap := s.pairGap(a, b); gap.Units > worst.Units {
				worst = gap
			}
		}
	}
	worst.LargestRequest = s.largest
	return worst
}

// pairGap is the gap between two accounts: within each span, the difference's
// largest value less its least one.
func (s *Shares) pairGap(a, b int) Gap {
	worst := Gap{Accounts: [2]int{a, b}}
	open := false
	var lowest, highest float64
	var lowestAt, highestAt int64
	for cell := range s.backlogged[a] {
		if !s.backlogged[a][cell] || !s.backlogged[b][cell] {
			open = false
			continue
		}
		if !open {
			open = true
			lowest, highest = math.Inf(1), math.Inf(-1)
		}
		// The cell's end counts too: both were backlogged up to it.
		for _, at := range [2]int{cell, cell + 1} {
			difference := s.curves[a][at] - s.curves[b][at]
			if difference < lowest {
				lowest, lowestAt = difference, s.window.at(at)
			}
			if difference > highest {
				highest, highestAt = difference, s.window.at(at)
			}
		}
		if highest-lowest > worst.Units {
			worst.Units = highest - lowest
			worst.From, worst.To = min(lowestAt, highestAt), max(lowestAt, highestAt)
		}
	}
	return worst
}

// LowestShare is the least part of its fair share that any account received
// over any stretch of the given number of cells in which it was backlogged
// throughout. The fair share is the mean of service per weight over the
// accounts that were backlogged throughout the stretch. It is 1 when no two
// accounts were.
func (s *Shares) LowestShare(stretch int) (share float64, account int) {
	share = 1
	for cell := 0; cell+stretch <= s.window.cells(); cell += max(1, stretch/4) {
		received := s.received(cell, cell+stretch)
		mean := 0.0
		for _, one := range received {
			mean += one.units / float64(len(received))
		}
		for _, one := range received {
			if len(received) > 1 && mean > 0 && one.units/mean < share {
				share, account = one.units/mean, one.account
			}
		}
	}
	return share, account
}

// receipt is what an account received over a stretch, per weight.
type receipt struct {
	account int
	units   float64
}

// received lists the accounts that were backlogged from one cell to another.
func (s *Shares) received(from, to int) []receipt {
	var all []receipt
	for account, backlogged := range s.backlogged {
		if allTrue(backlogged[from:to]) {
			all = append(all, receipt{account, s.curves[account][to] - s.curves[account][from]})
		}
	}
	return all
}

func allTrue(values []bool) bool {
	for _, value := range values {
		if !value {
			return false
		}
	}
	return true
}
