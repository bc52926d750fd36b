package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"
)

// cellLength is the resolution of the fairness figures.
const cellLength = 10 * time.Millisecond

// shareStretch is the stretch over which the lowest share is taken.
const shareStretch = 2 * time.Second

// Report is the outcome of a run, printed as one JSON object.
type Report struct {
	Scenario        string                   `json:"scenario"`
	Seconds         float64                  `json:"seconds"`
	Requests        RequestCounts            `json:"requests"`
	LostAnswers     int                      `json:"lost_answers"`
	DoubleRuns      int                      `json:"double_runs"`     // ids with more than one run in the ledgers
	UntrueRefusals  int                      `json:"untrue_refusals"` // said not to have run, and in a ledger
	UnansweredRuns  int                      `json:"unanswered_runs"` // in a ledger, known to no client
	RefusalsByCause map[string]int           `json:"refusals"`        // by status and outcome
	Services        map[string]ServiceReport `json:"services"`
	Groups          map[string]GroupReport   `json:"groups"`
	Nodes           NodeUsage                `json:"nodes"`
}

// RequestCounts counts requests by how they ended.
type RequestCounts struct {
	Sent      int             `json:"sent"`
	ByVerdict map[Verdict]int `json:"by_verdict"`
}

// ServiceReport holds the figures of one service.
type ServiceReport struct {
	FairnessGap       GapReport          `json:"fairness_gap"`
	LowestShare       float64            `json:"lowest_share"`
	LowestShareOf     string             `json:"lowest_share_of,omitempty"`
	Utilisation       float64            `json:"utilisation"`
	IdleWhileWaiting  float64            `json:"idle_while_waiting"`
	WaitingSeconds    float64            `json:"waiting_seconds"`
	Slots             int                `json:"slots"`
	Runs              int                `json:"runs"`
	UnitsPerSecond    float64            `json:"units_per_second"`
	BackloggedSeconds map[string]float64 `json:"backlogged_seconds,omitempty"` // per account
}

// GapReport is the fairness gap in readable form.
type GapReport struct {
	Units             float64   `json:"units"`
	InLargestRequests float64   `json:"in_largest_requests"`
	LargestRequest    float64   `json:"largest_request"`
	Between           [2]string `json:"between"`
	FromSecond        float64   `json:"from_second"`
	ToSecond          float64   `json:"to_second"`
}

// GroupReport holds the percentiles of one group of streams.
type GroupReport struct {
	Latency          Percentiles `json:"latency_ms"`
	TimeToFirstToken Percentiles `json:"time_to_first_token_ms"`
	BetweenTokens    Percentiles `json:"between_tokens_ms"`
}

// Percentiles of a time in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Bounds of the histograms in microseconds.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// timer gathers times of one kind.
type timer struct{ histogram *hdrhistogram.Histogram }

func newTimer() timer { return timer{hdrhistogram.New(1, histogramMax, histogramDigits)} }

func (t timer) add(d time.Duration) {
	_ = t.histogram.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

func (t timer) percentiles() Percentiles {
	at := func(quantile float64) float64 { return float64(t.histogram.ValueAtQuantile(quantile)) / 1000 }
	return Percentiles{
		Count: t.histogram.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		Max:   float64(t.histogram.Max()) / 1000,
	}
}

// newReport works out all figures. Counts take in the whole run, warm-up and
// drain included; percentiles the requests sent in the measured time.
func newReport(scenario Scenario, from, to time.Time, results []Result, engines []*engineRecord, usage NodeUsage) Report {
	report := Report{
		Scenario:        scenario.Run.Name,
		Seconds:         to.Sub(from).Seconds(),
		Requests:        RequestCounts{Sent: len(results), ByVerdict: make(map[Verdict]int)},
		RefusalsByCause: make(map[string]int),
		Services:        make(map[string]ServiceReport),
		Nodes:           usage,
	}
	for _, result := range results {
		report.count(result)
	}
	runs := joinRuns(engines)
	report.checkRuns(results, runs)
	window := Window{From: from.UnixNano(), To: to.UnixNano(), Cell: int64(cellLength)}
	for _, service := range scenario.Services {
		report.Services[service.Name] = serviceReport(scenario, service, window, results, engines, runs)
	}
	report.Groups = groupReports(scenario, from, to, results)
	return report
}

func (r *Report) count(result Result) {
	r.Requests.ByVerdict[result.Verdict]++
	if result.Verdict.Lost() {
		r.LostAnswers++
	}
	switch result.Verdict {
	case VerdictRefused, VerdictUnknown, VerdictError:
		r.RefusalsByCause[fmt.Sprintf("%d %s", result.Status, result.Outcome)]++
	}
}

// groupReports works out the percentiles by group.
func groupReports(scenario Scenario, from, to time.Time, results []Result) map[string]GroupReport {
	byGroup := lo.GroupBy(results, func(result Result) string { return scenario.Streams[result.Stream].Group })
	return lo.MapValues(byGroup, func(results []Result, _ string) GroupReport {
		latency, first, between := newTimer(), newTimer(), newTimer()
		for _, result := range results {
			if result.Verdict != VerdictWhole || result.Sent.Before(from) || result.Sent.After(to) {
				continue
			}
			latency.add(result.Answered.Sub(result.Sent))
			first.add(result.First.Sub(result.Sent))
			for _, gap := range result.Between {
				between.add(gap)
			}
		}
		return GroupReport{latency.percentiles(), first.percentiles(), between.percentiles()}
	})
}
