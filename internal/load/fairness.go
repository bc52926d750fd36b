package load

import (
	"math"
	"slices"
)

// FairnessGap is the largest difference of service between two accounts.
//
// An account is backlogged in a cell of the window if at every time in the cell
// at least one of its requests was waiting: sent by the client and not yet
// started by an engine. For two accounts and a span of cells in which both are
// backlogged throughout, the gap is the largest change, between any two times in
// the span, of the difference between their service divided by their weights.
// The result is the largest gap over all pairs and spans.
type FairnessGap struct {
	Units          float64 // cost units per weight
	Accounts       [2]int
	From, To       int64   // when the gap grew
	LargestRequest float64 // highest cost of a request that ran
}

// InLargestRequests returns the gap as a multiple of LargestRequest.
func (g FairnessGap) InLargestRequests() float64 {
	if g.LargestRequest == 0 {
		return 0
	}
	return g.Units / g.LargestRequest
}

// ServiceCurves holds the cumulative service and the backlog of each account.
type ServiceCurves struct {
	window     Window
	curves     [][]float64 // by account: service per weight up to the start of each cell
	backlogged [][]bool    // by account and cell
	largest    float64
}

// NewServiceCurves computes the service curves and backlogs. weights holds the
// weight of each account.
func NewServiceCurves(window Window, weights []float64, requests []RequestRecord) *ServiceCurves {
	s := &ServiceCurves{window: window}
	for range weights {
		s.curves = append(s.curves, make([]float64, window.cells()+1))
		s.backlogged = append(s.backlogged, nil)
	}
	for _, request := range requests {
		s.addService(request, weights[request.Account])
	}
	for account := range weights {
		s.backlogged[account] = backlog(window, account, requests)
	}
	return s
}

// addService adds one request to its account's curve.
func (s *ServiceCurves) addService(request RequestRecord, weight float64) {
	if !request.ran() {
		return
	}
	s.largest = max(s.largest, request.Cost())
	curve := s.curves[request.Account]
	base := request.served(s.window.From)
	for cell := max(0, s.window.cellOf(request.Started)); cell < len(curve); cell++ {
		curve[cell] += (request.served(s.window.at(cell)) - base) / weight
	}
}

// backlog returns for each cell whether the account was backlogged throughout.
func backlog(window Window, account int, requests []RequestRecord) []bool {
	var changes []change
	for _, request := range requests {
		if request.Account != account || request.waitEnd() <= request.Sent {
			continue
		}
		changes = append(changes, change{request.Sent, 1}, change{request.waitEnd(), -1})
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

// clearCells marks the cells that overlap an idle span as not backlogged.
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
func (s *ServiceCurves) Gap() FairnessGap {
	var worst FairnessGap
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

// pairGap returns the gap between two accounts: the largest range of the service
// difference within a span.
func (s *ServiceCurves) pairGap(a, b int) FairnessGap {
	worst := FairnessGap{Accounts: [2]int{a, b}}
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

// LowestShare returns the smallest fraction of its fair share that any account
// received over a stretch of the given number of cells in which it was backlogged
// throughout. The fair share is the mean service per weight of the accounts that
// were backlogged throughout the stretch. Without two such accounts, the result
// is 1.
func (s *ServiceCurves) LowestShare(stretch int) (share float64, account int) {
	share = 1
	for cell := 0; cell+stretch <= s.window.cells(); cell += max(1, stretch/4) {
		received := s.serviceOver(cell, cell+stretch)
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

// accountService is the service per weight of an account over a stretch.
type accountService struct {
	account int
	units   float64
}

// serviceOver returns the service of the accounts that were backlogged throughout
// the cells [from, to).
func (s *ServiceCurves) serviceOver(from, to int) []accountService {
	var all []accountService
	for account, backlogged := range s.backlogged {
		if allTrue(backlogged[from:to]) {
			all = append(all, accountService{account, s.curves[account][to] - s.curves[account][from]})
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
