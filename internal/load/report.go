package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"
)

// cellLength is the resolution of the fairness figures.
const cellLength = 10 * time.Millisecond

// lowestShareWindow is the stretch over which ServiceReport.LowestShare is computed.
const lowestShareWindow = 2 * time.Second

// Report is the result of a run. It is printed as a JSON object.
type Report struct {
	Scenario        string                   `json:"scenario"`
	Seconds         float64                  `json:"seconds"`
	Requests        RequestCounts            `json:"requests"`
	LostAnswers     int                      `json:"lost_answers"`
	DoubleRuns      int                      `json:"double_runs"`     // request ids with several runs in the ledgers
	UntrueRefusals  int                      `json:"untrue_refusals"` // reported as not run, but in a ledger
	UnansweredRuns  int                      `json:"unanswered_runs"` // in a ledger, but not known to a client
	RefusalsByCause map[string]int           `json:"refusals"`        // by status and outcome
	Services        map[string]ServiceReport `json:"services"`
	Groups          map[string]GroupReport   `json:"groups"`
	Nodes           NodeReport               `json:"nodes"`
}

// RequestCounts counts requests by verdict.
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

// GapReport is a FairnessGap with account names and times in seconds.
type GapReport struct {
	Units             float64   `json:"units"`
	InLargestRequests float64   `json:"in_largest_requests"`
	LargestRequest    float64   `json:"largest_request"`
	Between           [2]string `json:"between"`
	FromSecond        float64   `json:"from_second"`
	ToSecond          float64   `json:"to_second"`
}

// GroupReport holds the percentiles of a group of streams.
type GroupReport struct {
	Latency          Percentiles `json:"latency_ms"`
	TimeToFirstToken Percentiles `json:"time_to_first_token_ms"`
	BetweenTokens    Percentiles `json:"between_tokens_ms"`
}

// Percentiles are those of a duration in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Range, in microseconds, and significant digits of the histograms.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// durationHistogram records durations.
type durationHistogram struct{ histogram *hdrhistogram.Histogram }

func newDurationHistogram() durationHistogram {
	return durationHistogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (t durationHistogram) add(d time.Duration) {
	_ = t.histogram.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

func (t durationHistogram) percentiles() Percentiles {
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

// newReport computes all figures. Counts cover the complete run with warm-up and
// drain; percentiles cover the requests sent in the measured time.
func newReport(scenario Scenario, from, to time.Time, results []Result, engines []*engineRecord, usage NodeReport) Report {
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

// groupReports computes the percentiles by group.
func groupReports(scenario Scenario, from, to time.Time, results []Result) map[string]GroupReport {
	byGroup := lo.GroupBy(results, func(result Result) string { return scenario.Streams[result.Stream].Group })
	return lo.MapValues(byGroup, func(results []Result, _ string) GroupReport {
		latency, first, between := newDurationHistogram(), newDurationHistogram(), newDurationHistogram()
		for _, result := range results {
			if result.Verdict != VerdictWhole || result.Sent.Before(from) || result.Sent.After(to) {
				continue
			}
			latency.add(result.Answered.Sub(result.Sent))
			first.add(result.First.Sub(result.Sent))
			for _, gap := range result.TokenGaps {
				between.add(gap)
			}
		}
		return GroupReport{latency.percentiles(), first.percentiles(), between.percentiles()}
	})
}
