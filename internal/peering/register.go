package peering

import (
	"context"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// startInterval is the pause between the first startLooks looks into the
	// directory, in which all routers of a fleet that starts have registered. A
	// router that comes later finds the others there and tells them.
	startInterval = 3 * time.Second
	startLooks    = 3
	// directoryInterval is the pause between later looks. They only find routers
	// that were cut off for longer than their addresses are tried, so it is well
	// below addressLife.
	directoryInterval = 30 * time.Second
	// announceAfter is the number of lists in a row without this router after
	// which it registers again.
	announceAfter = 3
)

// register looks for other routers, and announces this one where it is missing, until
// the context ends. A process that starts again on its VM finds its entry from before.
func (m *Manager) register(ctx context.Context) error {
	missing := announceAfter - 1 // lists in a row that lack this router
	wentBack := m.options.State.View().RestoredAt
	for look := 1; ; look++ {
		zones, err := m.options.Directory.Routers(ctx)
		m.logFailure(ctx, err)
		if err == nil {
			missing = m.takeDirectory(ctx, zones, missing)
		}
		if err == nil && missing >= announceAfter {
			missing = m.announce(ctx, missing)
		}
		m.awaitLook(ctx, lookPause(look, len(m.heard(boottime.Now()))), wentBack)
		if ctx.Err() != nil {
			return nil
		}
		if again := m.options.State.View().RestoredAt; again != wentBack {
			// The store may have lost this router's entry, and those of others that
			// came of late. Routers that hear nobody find each other by them alone, so
			// it is looked into as at the start, and one list without it is enough.
			wentBack, look = again, 0
			missing = max(missing, announceAfter-1)
		}
	}
}

// announce registers this router and returns how many lists in a row lack it then.
func (m *Manager) announce(ctx context.Context, missing int) int {
	err := m.options.Directory.Register(ctx, m.options.Address)
	m.logFailure(ctx, err)
	if err != nil {
		return missing
	}
	return 0
}

// awaitLook waits for the time, or until the store has come back from an older copy since
// the moment, or the context ends.
func (m *Manager) awaitLook(ctx context.Context, pause time.Duration, wentBack boottime.Instant) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		changed := m.options.State.Changed()
		if m.options.State.View().RestoredAt != wentBack {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// lookPause returns the pause after so many looks into the directory. A router that
// hears nobody goes on as at the start.
func lookPause(looks, heard int) time.Duration {
	if looks < startLooks || heard == 0 {
		return startInterval
	}
	return directoryInterval
}

// takeDirectory takes a list of the routers and returns how many in a row have
// lacked this one. The list may be seconds old, so one that does means nothing.
func (m *Manager) takeDirectory(ctx context.Context, zones map[fleet.Address]fleet.Zone, missing int) int {
	now := boottime.Now()
	m.looked.Store(true)
	for address, zone := range zones {
		m.add(address, zone, now)
	}
	if m.WatchesStore() {
		for _, gone := range m.gone(lo.Keys(zones), now) {
			m.logFailure(ctx, m.options.Directory.Remove(ctx, gone))
		}
	}
	if zone, listed := zones[m.options.Address]; listed && zone == m.options.Zone {
		return 0
	}
	return missing + 1
}

func (m *Manager) logFailure(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	event.GateStoreCallFailed.Log(m.options.Logger, logrus.Fields{"error": err.Error()})
}
