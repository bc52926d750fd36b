package load

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// engineRun is a run with the index of its engine.
type engineRun struct {
	engine.Run
	engine int
}

// joinRuns groups all runs by request id, in the order of the engines.
func joinRuns(engines []*engineRecord) map[string][]engineRun {
	runs := make(map[string][]engineRun)
	for index, record := range engines {
		for _, run := range record.runs {
			runs[run.ID] = append(runs[run.ID], engineRun{run, index})
		}
	}
	return runs
}

// checkRuns compares the outcomes reported to callers with the engines' runs.
func (r *Report) checkRuns(results []Result, runs map[string][]engineRun) {
	known := make(map[string]bool, len(results))
	for _, result := range results {
		known[result.ID] = true
		if result.Outcome == fleet.OutcomeNotRun && len(runs[result.ID]) > 0 {
			r.UntrueRefusals++
		}
	}
	for id, all := range runs {
		if len(all) > 1 {
			r.DoubleRuns++
		}
		if !known[id] {
			r.UnansweredRuns++
		}
	}
}

// serviceReport computes the figures of one service.
func serviceReport(scenario Scenario, service ServiceSection, window Window, results []Result,
	engines []*engineRecord, runs map[string][]engineRun) ServiceReport {
	names, weights := accountsOf(scenario, service.Name)
	requests := joinRequests(scenario, service, names, results, runs)
	slots := lo.Map(engines, func(record *engineRecord, _ int) int {
		return lo.Ternary(record.service == service.Name, record.slots, 0)
	})
	curves := NewServiceCurves(window, weights, requests)
	gap := curves.Gap()
	lowest, lowestOf := curves.LowestShare(int(lowestShareWindow / cellLength))
	usage := NewSlotUsage(window, slots, requests)
	report := ServiceReport{
		LowestShare:      lowest,
		Utilisation:      usage.Utilisation,
		IdleWhileWaiting: usage.IdleWhileWaiting,
		WaitingSeconds:   usage.WaitingSeconds,
		Slots:            lo.Sum(slots),
		Runs:             lo.CountBy(requests, RequestRecord.ran),
		UnitsPerSecond:   unitsPerSecond(window, requests),
	}
	if len(names) > 0 {
		report.FairnessGap = gapReport(gap, names, window)
		report.LowestShareOf = names[lowestOf]
		report.BackloggedSeconds = curves.backloggedSeconds(names)
	}
	return report
}

// accountsOf returns the accounts that call a service, with their weights.
func accountsOf(scenario Scenario, service string) (names []string, weights []float64) {
	for _, stream := range scenario.Streams {
		if stream.Service == service && !lo.Contains(names, stream.Account) {
			names = append(names, stream.Account)
			weights = append(weights, stream.Weight)
		}
	}
	return names, weights
}

// joinRequests joins each result of a service with its first run.
func joinRequests(scenario Scenario, service ServiceSection, names []string, results []Result, runs map[string][]engineRun) []RequestRecord {
	var requests []RequestRecord
	for _, result := range results {
		stream := scenario.Streams[result.Stream]
		if stream.Service != service.Name {
			continue
		}
		request := RequestRecord{
			Account:  lo.IndexOf(names, stream.Account),
			Sent:     result.Sent.UnixNano(),
			Answered: result.Answered.UnixNano(),
		}
		if all := runs[result.ID]; len(all) > 0 {
			request.addRun(all[0], service, stream.Plain)
		}
		requests = append(requests, request)
	}
	return requests
}

// addRun sets times and costs from a run.
func (w *RequestRecord) addRun(run engineRun, service ServiceSection, plain bool) {
	w.Engine = run.engine
	w.Started = run.StartedNS
	w.FirstToken = run.FirstTokenNS
	w.Ended = run.EndedNS
	if run.EndedNS == 0 {
		w.Ended = w.Answered // the engine is stuck: the run has not ended in the ledger
	}
	if plain {
		w.FirstToken = run.StartedNS
		w.OutputCost = service.MillisecondCost * float64(w.Ended-w.Started) / float64(time.Millisecond)
		return
	}
	w.PromptCost = service.PromptCost * float64(run.PromptTokens)
	w.OutputCost = service.TokenCost * float64(run.Tokens)
}

// unitsPerSecond returns the mean service rate of all accounts in the window.
func unitsPerSecond(window Window, requests []RequestRecord) float64 {
	units := lo.SumBy(requests, func(request RequestRecord) float64 { return request.served(window.To) - request.served(window.From) })
	return units / (float64(window.To-window.From) / float64(time.Second))
}

func gapReport(gap FairnessGap, names []string, window Window) GapReport {
	second := func(at int64) float64 {
		return max(0, float64(at-window.From)/float64(time.Second))
	}
	return GapReport{
		Units:             gap.Units,
		InLargestRequests: gap.InLargestRequests(),
		LargestRequest:    gap.LargestRequest,
		Between:           [2]string{names[gap.Accounts[0]], names[gap.Accounts[1]]},
		FromSecond:        second(gap.From),
		ToSecond:          second(gap.To),
	}
}

// backloggedSeconds returns how long each account was backlogged.
func (s *ServiceCurves) backloggedSeconds(names []string) map[string]float64 {
	seconds := make(map[string]float64, len(names))
	for account, name := range names {
		cells := lo.CountBy(s.backlogged[account], func(waited bool) bool { return waited })
		seconds[name] = (time.Duration(cells) * cellLength).Seconds()
	}
	return seconds
}
