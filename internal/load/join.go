package load

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// engineRun is one run with the place of its engine in the list of engines.
type engineRun struct {
	engine.Run
	engine int
}

// joinRuns lists all runs by request id, in the order of the engines.
func joinRuns(engines []*engineRecord) map[string][]engineRun {
	runs := make(map[string][]engineRun)
	for place, record := range engines {
		for _, run := range record.runs {
			runs[run.ID] = append(runs[run.ID], engineRun{run, place})
		}
	}
	return runs
}

// checkRuns compares what the callers were told with what the engines did.
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

// serviceReport works out the figures of one service.
func serviceReport(scenario Scenario, service ServiceSection, window Window, results []Result,
	engines []*engineRecord, runs map[string][]engineRun) ServiceReport {
	names, weights := accountsOf(scenario, service.Name)
	works := joinWorks(scenario, service, names, results, runs)
	slots := lo.Map(engines, func(record *engineRecord, _ int) int {
		return lo.Ternary(record.service == service.Name, record.slots, 0)
	})
	shares := NewShares(window, weights, works)
	gap := shares.Gap()
	lowest, lowestOf := shares.LowestShare(int(shareStretch / cellLength))
	usage := NewUsage(window, slots, works)
	report := ServiceReport{
		LowestShare:      lowest,
		Utilisation:      usage.Utilisation,
		IdleWhileWaiting: usage.IdleWhileWaiting,
		WaitingSeconds:   usage.WaitingSeconds,
		Slots:            lo.Sum(slots),
		Runs:             lo.CountBy(works, Work.ran),
		UnitsPerSecond:   unitsPerSecond(window, works),
	}
	if len(names) > 0 {
		report.FairnessGap = gapReport(gap, names, window)
		report.LowestShareOf = names[lowestOf]
		report.BackloggedSeconds = shares.backloggedSeconds(names)
	}
	return report
}

// accountsOf lists the accounts that call a service, with their weights.
func accountsOf(scenario Scenario, service string) (names []string, weights []float64) {
	for _, stream := range scenario.Streams {
		if stream.Service == service && !lo.Contains(names, stream.Account) {
			names = append(names, stream.Account)
			weights = append(weights, stream.Weight)
		}
	}
	return names, weights
}

// joinWorks joins each result of a service with its first run.
func joinWorks(scenario Scenario, service ServiceSection, names []string, results []Result, runs map[string][]engineRun) []Work {
	var works []Work
	for _, result := range results {
		stream := scenario.Streams[result.Stream]
		if stream.Service != service.Name {
			continue
		}
		work := Work{
			Account:  lo.IndexOf(names, stream.Account),
			Sent:     result.Sent.UnixNano(),
			Answered: result.Answered.UnixNano(),
		}
		if all := runs[result.ID]; len(all) > 0 {
			work.addRun(all[0], service, stream.Plain)
		}
		works = append(works, work)
	}
	return works
}

// addRun takes times and costs from a run of the ledger.
func (w *Work) addRun(run engineRun, service ServiceSection, plain bool) {
	w.Engine = run.engine
	w.Began = run.StartedNS
	w.First = run.FirstTokenNS
	w.Ended = run.EndedNS
	if run.EndedNS == 0 {
		w.Ended = w.Answered // still in the ledger as running: a stuck engine
	}
	if plain {
		w.First = run.StartedNS
		w.OutputCost = service.MillisecondCost * float64(w.Ended-w.Began) / float64(time.Millisecond)
		return
	}
	w.PromptCost = service.PromptCost * float64(run.PromptTokens)
	w.OutputCost = service.TokenCost * float64(run.Tokens)
}

// unitsPerSecond is the service that all accounts received in the window.
func unitsPerSecond(window Window, works []Work) float64 {
	units := lo.SumBy(works, func(work Work) float64 { return work.served(window.To) - work.served(window.From) })
	return units / (float64(window.To-window.From) / float64(time.Second))
}

func gapReport(gap Gap, names []string, window Window) GapReport {
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

// backloggedSeconds tells how long each account was backlogged.
func (s *Shares) backloggedSeconds(names []string) map[string]float64 {
	seconds := make(map[string]float64, len(names))
	for account, name := range names {
		cells := lo.CountBy(s.backlogged[account], func(waited bool) bool { return waited })
		seconds[name] = (time.Duration(cells) * cellLength).Seconds()
	}
	return seconds
}
