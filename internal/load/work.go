package load

import "cmp"

// Work is one request as the computations see it: joined from what the client
// recorded and what the engines' ledgers say. Times are Unix nanoseconds.
type Work struct {
	Account    int   // place in the list of accounts
	Engine     int   // place in the list of engines; only when it ran
	Sent       int64 // the client sent it; it waits from here on
	Answered   int64 // the client had its last byte, or its refusal
	Began      int64 // the run began; 0 when it never ran
	First      int64 // first token; 0 when there is none
	Ended      int64 // the run ended
	PromptCost float64
	OutputCost float64 // of the whole answer, or the part that was made
}

// Cost is the cost of the whole request.
func (w Work) Cost() float64 { return w.PromptCost + w.OutputCost }

// ran tells whether an engine ran the request.
func (w Work) ran() bool { return w.Began > 0 }

// waitEnd is the time at which the request waits no longer.
func (w Work) waitEnd() int64 {
	if w.ran() {
		return w.Began
	}
	return w.Answered
}

// served is the service received up to a time. The prompt's cost is spread
// evenly up to the first token, the answer's from there to the end.
func (w Work) served(at int64) float64 {
	if !w.ran() {
		return 0
	}
	first := w.First
	if first == 0 {
		first = w.Ended
	}
	return w.PromptCost*progress(w.Began, first, at) + w.OutputCost*progress(first, w.Ended, at)
}

// progress is the part of a span that lies before a time, from 0 to 1.
func progress(from, to, at int64) float64 {
	switch {
	case at >= to:
		return 1
	case at <= from:
		return 0
	default:
		return float64(at-from) / float64(to-from)
	}
}

// Window is the measured time, cut into cells of equal length. Times are Unix
// nanoseconds.
type Window struct {
	From, To int64
	Cell     int64
}

// cells is the number of whole cells.
func (w Window) cells() int { return int((w.To - w.From) / w.Cell) }

// at is the time at which a cell begins.
func (w Window) at(cell int) int64 { return w.From + int64(cell)*w.Cell }

// cellOf is the cell that holds a time, which may lie outside of the window.
func (w Window) cellOf(at int64) int {
	offset := at - w.From
	if offset < 0 {
		return -1
	}
	return int(offset / w.Cell)
}

// change is a step in a count over time.
type change struct {
	at    int64
	delta int
}

// compareChanges orders changes by time; at equal times a rise comes before a
// fall, so that a request that takes over at once leaves no gap.
func compareChanges(a, b change) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.delta, a.delta))
}
