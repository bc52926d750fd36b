package load

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

// window is ten seconds long, with cells of 100 ms.
var window = Window{From: 100 * second, To: 110 * second, Cell: second / 10}

// served returns a request that ran after waiting from sent.
func served(account, engine int, sent, started, ended int64, cost float64) RequestRecord {
	return RequestRecord{Account: account, Engine: engine, Sent: sent, Started: started, FirstToken: started, Ended: ended, Answered: ended, OutputCost: cost}
}

// backloggedAll returns a request of the account that waits for the entire window.
func backloggedAll(account int) RequestRecord {
	return RequestRecord{Account: account, Sent: window.From - second, Answered: window.To + second}
}

// drawRequests returns runs of one account with random times and costs.
func drawRequests(t *rapid.T, account int) []RequestRecord {
	var requests []RequestRecord
	for range rapid.IntRange(0, 20).Draw(t, "runs") {
		sent := window.From + rapid.Int64Range(-2*second, 10*second).Draw(t, "sent")
		started := sent + rapid.Int64Range(1, 3*second).Draw(t, "wait")
		ended := started + rapid.Int64Range(1, 4*second).Draw(t, "run")
		requests = append(requests, served(account, 0, sent, started, ended, rapid.Float64Range(0, 1000).Draw(t, "cost")))
	}
	return requests
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }

func TestGapOfKnownCurves(t *testing.T) {
	// Account 0 gets 100 units per second, account 1 gets 50. This is fair for
	// the weights 2 and 1, but not for equal weights.
	requests := []RequestRecord{
		backloggedAll(0), backloggedAll(1),
		served(0, 0, window.From, window.From, window.To, 1000),
		served(1, 0, window.From, window.From, window.To, 500),
	}
	for weight, want := range map[float64]float64{1: 500, 2: 0} {
		gap := NewServiceCurves(window, []float64{weight, 1}, requests).Gap()
		if !approxEqual(gap.Units, want) || gap.LargestRequest != 1000 {
			t.Errorf("weight %v: gap %+v, want %v units", weight, gap, want)
		}
	}
	share, account := NewServiceCurves(window, []float64{1, 1}, requests).LowestShare(10)
	if !approxEqual(share, 50.0/75) || account != 1 {
		t.Errorf("lowest share %v of %d", share, account)
	}
}

// TestGapCountsOnlyBackloggedSpans gives account 1 nothing in the first half,
// while it has no request waiting, and an equal share in the second half.
func TestGapCountsOnlyBackloggedSpans(t *testing.T) {
	half := window.From + 5*second
	requests := []RequestRecord{
		backloggedAll(0),
		{Account: 1, Sent: half, Answered: window.To + second},
		served(0, 0, window.From, window.From, window.To, 1000),
		served(1, 0, half, half, window.To, 500),
	}
	if gap := NewServiceCurves(window, []float64{1, 1}, requests).Gap(); !approxEqual(gap.Units, 0) {
		t.Errorf("gap %+v over a span in which one account had no request waiting", gap)
	}
}

func TestGapProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := []float64{1, 1}
		first, second := drawRequests(t, 0), drawRequests(t, 1)
		mirrored := make([]RequestRecord, 0, len(first))
		for _, request := range first {
			request.Account = 1
			mirrored = append(mirrored, request)
		}
		if gap := NewServiceCurves(window, weights, append(mirrored, first...)).Gap(); !approxEqual(gap.Units, 0) {
			t.Fatalf("equal curves have a gap of %v", gap.Units)
		}
		all := append(append([]RequestRecord{backloggedAll(0), backloggedAll(1)}, first...), second...)
		gap := NewServiceCurves(window, weights, all).Gap()
		swapped := make([]RequestRecord, 0, len(all))
		scaled := make([]RequestRecord, 0, len(all))
		for _, request := range all {
			request.Account = 1 - request.Account
			swapped = append(swapped, request)
			request.OutputCost *= 3
			scaled = append(scaled, request)
		}
		if other := NewServiceCurves(window, weights, swapped).Gap(); !approxEqual(other.Units, gap.Units) {
			t.Fatalf("gap %v, with the accounts swapped %v", gap.Units, other.Units)
		}
		if other := NewServiceCurves(window, weights, scaled).Gap(); !approxEqual(other.Units, 3*gap.Units) {
			t.Fatalf("gap %v, with all costs tripled %v", gap.Units, other.Units)
		}
		// Without the requests that wait throughout, spans can only become shorter.
		if other := NewServiceCurves(window, weights, all[2:]).Gap(); other.Units > gap.Units+1e-6 {
			t.Fatalf("gap %v grew to %v with shorter spans", gap.Units, other.Units)
		}
	})
}

func TestUsageOfKnownRuns(t *testing.T) {
	from, half := window.From, window.From+5*second
	tests := []struct {
		name     string
		requests []RequestRecord
		want     SlotUsage
	}{
		{"nothing waits", []RequestRecord{served(0, 0, from, from, window.To, 1)}, SlotUsage{}},
		{"one of two slots is busy for half of the time", []RequestRecord{backloggedAll(0), served(0, 0, from, from, half, 1)},
			SlotUsage{WaitingSeconds: 10, Utilisation: 0.25, IdleWhileWaiting: 0.5}},
		{"more runs than slots count as the slots", []RequestRecord{backloggedAll(0), backloggedAll(0),
			served(0, 0, from, from, half, 1), served(0, 0, from, from, half, 1), served(0, 0, from, from, half, 1)},
			SlotUsage{WaitingSeconds: 10, Utilisation: 0.5, IdleWhileWaiting: 0.5}},
		{"a request waits from its sending to its run", []RequestRecord{served(0, 0, from, half, window.To, 1)},
			SlotUsage{WaitingSeconds: 5, IdleWhileWaiting: 0.25}},
	}
	for _, test := range tests {
		got := NewSlotUsage(window, []int{2}, test.requests)
		if !approxEqual(got.WaitingSeconds, test.want.WaitingSeconds) || !approxEqual(got.Utilisation, test.want.Utilisation) ||
			!approxEqual(got.IdleWhileWaiting, test.want.IdleWhileWaiting) {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestUsageStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := []int{rapid.IntRange(1, 4).Draw(t, "slots")}
		usage := NewSlotUsage(window, slots, drawRequests(t, 0))
		if usage.Utilisation < 0 || usage.Utilisation > 1+1e-9 || usage.IdleWhileWaiting < 0 ||
			usage.IdleWhileWaiting > 1-usage.Utilisation+1e-9 && usage.WaitingSeconds > 9.999 {
			t.Fatalf("%+v", usage)
		}
	})
}
