package gate

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// When engines start, drain or are evacuated, the preferred engines of many prompt segments
// change at the same time. Without a fetch, each newly preferred engine would read its
// segments again just when the engines have the least spare capacity.
const (
	// recentStartPeriod is how long an engine counts as recently started: it has hardly
	// read any of the segments that prefer it yet. It is some times the usual pause between
	// two requests for a segment.
	recentStartPeriod = 10 * time.Second
	// maxFetchCandidates is how many of the engines that rank first for the segment are
	// considered as a fetch source. The first ones may be the chosen one, or recently
	// started.
	maxFetchCandidates = 4
	// fetchShare is the fraction of the bound for evacuations within which segments are
	// still fetched from an evacuated zone. A fetch puts some load on its engines, which
	// must get none after the bound.
	fetchShare = 0.5
)

// cacheHolder returns the engine that is known to cache the segment, nil if there is none
// from which it may be fetched.
func (a *admission) cacheHolder(segment string, view *knowledge.View, now boottime.Instant) *knowledge.Backend {
	holder := a.segments.cacheHolder(segment, view)
	if holder == nil || !a.mayFetchFrom(holder, view, now) {
		return nil
	}
	return holder
}

// mayFetchFrom reports whether segments may be fetched from the engine.
func (a *admission) mayFetchFrom(engine *knowledge.Backend, view *knowledge.View, now boottime.Instant) bool {
	if !view.Evacuations.Has(engine.Zone) {
		return true
	}
	maxAge := time.Duration(float64(a.settings.get().Evacuate) * fetchShare)
	return now.Sub(view.Evacuations.ObservedAt[engine.Zone]) < maxAge
}

// fetchSource returns the address of the engine that probably caches more of the prompt
// than the chosen one, "" for none.
func (a *admission) fetchSource(search *modelSearch, chosen *knowledge.Backend, now boottime.Instant) fleet.Address {
	source := search.cacheHolder
	if source == chosen {
		return ""
	}
	if source == nil {
		source = a.previousEngine(search, chosen, now)
	}
	if source == nil {
		source = firstSegmentEngine(search, chosen)
	}
	if source == nil {
		return ""
	}
	return source.Address
}

// previousEngine returns the engine that probably read the shared segments before the
// chosen one, nil if that is probably the chosen one itself. It is the first in the
// segment's ranking that has not started recently. Engines that get no requests because they
// drain or are evacuated still cache what they have read.
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

// recentlyStarted reports whether the engine has hardly read any of its segments yet: it
// has just appeared, or its zone has just been taken back into use and it may have
// restarted during the evacuation.
func recentlyStarted(engine *knowledge.Backend, view *knowledge.View, now boottime.Instant) bool {
	since := max(engine.FirstSeen, view.Evacuations.ReturnedAt[engine.Zone])
	return since != 0 && now.Sub(since) < recentStartPeriod
}

// firstSegmentEngine returns the preferred engine of the prompt's first segment, nil if
// that is the chosen one or if the prompt has fewer than three segments.
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
