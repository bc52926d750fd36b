package load

import "cmp"

// RequestRecord joins the client's record of a request with its run from the
// engines' ledgers. Times are Unix nanoseconds.
type RequestRecord struct {
	Account    int   // index in the list of accounts
	Engine     int   // index in the list of engines; only set if the request ran
	Sent       int64 // the client sent the request, which waits from here on
	Answered   int64 // the client received the answer's last byte or the refusal
	Started    int64 // the run started; 0 if the request never ran
	FirstToken int64 // 0 if there is none
	Ended      int64 // the run ended
	PromptCost float64
	OutputCost float64 // of the tokens that were generated
}

// Cost returns the total cost of the request.
func (w RequestRecord) Cost() float64 { return w.PromptCost + w.OutputCost }

// ran reports whether an engine ran the request.
func (w RequestRecord) ran() bool { return w.Started > 0 }

// waitEnd returns the time until which the request waited.
func (w RequestRecord) waitEnd() int64 {
	if w.ran() {
		return w.Started
	}
	return w.Answered
}

// served returns the service received up to a time. The prompt's cost is spread
// evenly over the time until the first token, the answer's over the rest.
func (w RequestRecord) served(at int64) float64 {
	if !w.ran() {
		return 0
	}
	first := w.FirstToken
	if first == 0 {
		first = w.Ended
	}
	return w.PromptCost*progress(w.Started, first, at) + w.OutputCost*progress(first, w.Ended, at)
}

// progress returns the fraction of a span that lies before a time, from 0 to 1.
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

// Window is the measured time, divided into cells of equal length. Times are Unix
// nanoseconds.
type Window struct {
	From, To int64
	Cell     int64
}

// cells returns the number of complete cells.
func (w Window) cells() int { return int((w.To - w.From) / w.Cell) }

// at returns the start time of a cell.
func (w Window) at(cell int) int64 { return w.From + int64(cell)*w.Cell }

// cellOf returns the cell that contains a time. Times before the window are in
// cell -1; times after it have cells beyond the last one.
func (w Window) cellOf(at int64) int {
	offset := at - w.From
	if offset < 0 {
		return -1
	}
	return int(offset / w.Cell)
}

// change is a change of a count at a time.
type change struct {
	at    int64
	delta int
}

// compareChanges orders changes by time. At equal times, an increase comes before
// a decrease, so that there is no gap if one request starts as another ends.
func compareChanges(a, b change) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.delta, a.delta))
}
