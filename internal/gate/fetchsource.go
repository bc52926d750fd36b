package gate

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// The load that this file answers: engines come, go, or get nothing more, so the homes
// of many prompt parts change at one moment. Every new home would read its parts anew,
// in just those seconds in which the engines have the least time for it.

const (
	// recentStartPeriod is how long an engine counts as one that has hardly read any of the
	// parts whose home it is: some times the pause after which a part comes again.
	recentStartPeriod = 10 * time.Second
	// maxFetchCandidates is how many engines of a part's order are looked at for one that keeps
	// it. The first may be the chosen one, or too young, and so on.
	maxFetchCandidates = 4
	// fetchShare is the part of the bound for evacuations in which parts are still
	// fetched from an evacuated zone. A fetch puts some load on its engines, and after
	// the bound nothing may.
	fetchShare = 0.5
)

// cacheHolder returns the engine that is known to keep the prompt part, nil if none is known
// that may be asked for it.
func (a *admission) cacheHolder(segment string, view *knowledge.View, now boottime.Instant) *knowledge.Backend {
	holder := a.segments.cacheHolder(segment, view)
	if holder == nil || !a.mayFetchFrom(holder, view, now) {
		return nil
	}
	return holder
}

// mayFetchFrom tells whether parts may be fetched from the engine.
func (a *admission) mayFetchFrom(engine *knowledge.Backend, view *knowledge.View, now boottime.Instant) bool {
	if !view.Evacuations.Has(engine.Zone) {
		return true
	}
	maxAge := time.Duration(float64(a.settings.get().Evacuate) * fetchShare)
	return now.Sub(view.Evacuations.ObservedAt[engine.Zone]) < maxAge
}

// fetchSource returns the address of the engine that probably keeps more of the prompt than
// the chosen one, or "".
func (a *admission) fetchSource(search *modelSearch, chosen *knowledge.Backend, now boottime.Instant) fleet.Address {
	keeper := search.cacheHolder
	if keeper == chosen {
		return ""
	}
	if keeper == nil {
		keeper = a.previousEngine(search, chosen, now)
	}
	if keeper == nil {
		keeper = firstSegmentEngine(search, chosen)
	}
	if keeper == nil {
		return ""
	}
	return keeper.Address
}

// previousEngine returns the engine that probably read the shared parts before the chosen
// one, nil if that is probably the chosen one itself. It comes first in the part's
// order but for engines that are too young to have read it; those that get nothing any
// more, as they leave or are evacuated, still keep what they have read.
func (a *admission) previousEngine(search *modelSearch, chosen *knowledge.Backend, now boottime.Instant) *knowledge.Backend {
	engines := search.view.ByService[search.request.Service]
	for _, place := range search.ranking.rank(engines, search.segment, maxFetchCandidates) {
		engine := engines[place]
		switch {
		case recentlyStarted(engine, search.view, now):
			continue
		case engine == chosen:
			return nil
		case a.mayFetchFrom(engine, search.view, now):
			return engine
		}
	}
	return nil
}

// recentlyStarted tells whether the engine has hardly read any of its parts yet: it has just
// appeared, or its zone was just taken back and it may have started again meanwhile.
func recentlyStarted(engine *knowledge.Backend, view *knowledge.View, now boottime.Instant) bool {
	since := max(engine.FirstSeen, view.Evacuations.ReturnedAt[engine.Zone])
	return since != 0 && now.Sub(since) < recentStartPeriod
}

// firstSegmentEngine returns the engine that keeps the first part of the prompt before any other
// does, nil if that is the chosen one or the prompt has no such part.
func firstSegmentEngine(search *modelSearch, chosen *knowledge.Backend) *knowledge.Backend {
	segments := search.request.Prompt.Segments
	serving := search.serving()
	if len(segments) < 3 || len(serving) == 0 {
		return nil
	}
	engine := serving[search.ranking.rank(serving, segments[0].ID, 1)[0]]
	if engine == chosen {
		return nil
	}
	return engine
}
