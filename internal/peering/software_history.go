package peering

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// maxHistoryListAge is the age of a router's list up to which the versions that it remembers
// are taken from it. One that is partitioned may miss some.
const maxHistoryListAge = 3 * time.Second

const (
	// historyAskTime is how long a router asks for the history after it started, or after it
	// had been without a current list.
	historyAskTime = 10 * time.Second
	// historyTellTime is how long heartbeats carry the history after a router asked for it.
	historyTellTime = time.Second
)

// addSoftwareHistory adds the history to a heartbeat if another router has just asked for it,
// and asks for it if this one's is short. Only routers that have just started need it.
func (m *Manager) addSoftwareHistory(heartbeat *peeringpb.Beat, view *knowledge.View, now boottime.Instant) {
	if view.ListConfirmedAt == 0 {
		return
	}
	former, since := view.FormerVersions(now)
	heartbeat.WantsHistory = since != 0 && now.Sub(since) < historyAskTime
	if now < boottime.Instant(m.historyWantedUntil.Load()) {
		heartbeat.SoftwareHistory = encodeSoftwareHistory(former, since, now)
	}
}

func encodeSoftwareHistory(former []knowledge.FormerVersion, since, now boottime.Instant) *peeringpb.SoftwareHistory {
	covered := knowledge.VersionHistory
	if since != 0 {
		covered = min(now.Sub(since), covered)
	}
	history := &peeringpb.SoftwareHistory{CoversMs: uint32(covered.Milliseconds())}
	for _, version := range former {
		history.Software = append(history.Software, uint64(version.Software))
		history.Service = append(history.Service, version.Service)
		history.AgeMs = append(history.AgeMs, uint32(now.Sub(version.Unlisted).Milliseconds()))
	}
	return history
}

// applySoftwareHistory adds the versions that another router remembers. echo is a time before
// it sent them, 0 if none is known: then it may have sent them before this router started.
// What the history covers counts from now, which is later than it was sent: counted from an
// earlier time it would reach too far back, and further with each router that hands it on.
func applySoftwareHistory(state *knowledge.State, heartbeat *peeringpb.Beat, echo, now boottime.Instant) {
	history := heartbeat.SoftwareHistory
	if history == nil || len(history.Service) != len(history.Software) || len(history.AgeMs) != len(history.Software) {
		return
	}
	former := make([]knowledge.FormerVersion, 0, len(history.Software))
	for i, software := range history.Software {
		former = append(former, knowledge.FormerVersion{
			Software: knowledge.SoftwareID(software),
			Service:  history.Service[i],
			Unlisted: now.Add(-time.Duration(history.AgeMs[i]) * time.Millisecond),
		})
	}
	since, completeAfter := now, boottime.Instant(0)
	if age := time.Duration(heartbeat.ListAge); echo != 0 && age >= 0 && age <= maxHistoryListAge {
		since = now.Add(-time.Duration(history.CoversMs) * time.Millisecond)
		completeAfter = echo.Add(-age)
	}
	state.AddFormerVersions(former, since, completeAfter)
}
