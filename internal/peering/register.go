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
	// startReadInterval is the interval between the first startReads reads of the
	// directory. By then all routers of a fleet that starts together have registered. A
	// router that starts later finds the others in the directory and sends them
	// heartbeats.
	startReadInterval = 3 * time.Second
	startReads        = 3
	// directoryReadInterval is the interval between later reads. They only find routers
	// that were unreachable for longer than addressTTL, so it is well below addressTTL.
	directoryReadInterval = 30 * time.Second
	// registerAfterMissing is the number of consecutive lists without this router after
	// which it registers again.
	registerAfterMissing = 3
)

// maintainRegistration reads the directory to find other routers, and registers this one
// if its entry is missing, until the context ends. A process that restarts on its VM
// finds the entry of its predecessor.
func (m *Manager) maintainRegistration(ctx context.Context) error {
	missingCount := registerAfterMissing - 1 // consecutive lists without this router
	restoredAt := m.options.State.View().RestoredAt
	for read := 1; ; read++ {
		zones, err := m.options.Directory.Routers(ctx)
		m.logFailure(ctx, err)
		if err == nil {
			missingCount = m.applyDirectory(ctx, zones, missingCount)
		}
		if err == nil && missingCount >= registerAfterMissing {
			missingCount = m.registerSelf(ctx, missingCount)
		}
		m.awaitNextRead(ctx, readInterval(read, len(m.reachableRouters(boottime.Now()))), restoredAt)
		if ctx.Err() != nil {
			return nil
		}
		if newest := m.options.State.View().RestoredAt; newest != restoredAt {
			// The store may have lost the entries of this router and of others that
			// registered recently. Unreachable routers find each other only by these
			// entries, so the directory is read as often as at the start, and a single
			// list without this router is enough to register again.
			restoredAt, read = newest, 0
			missingCount = max(missingCount, registerAfterMissing-1)
		}
	}
}

// registerSelf registers this router and returns the number of consecutive lists without
// it.
func (m *Manager) registerSelf(ctx context.Context, missingCount int) int {
	err := m.options.Directory.Register(ctx, m.options.Address)
	m.logFailure(ctx, err)
	if err != nil {
		return missingCount
	}
	return 0
}

// awaitNextRead waits until the pause has passed, the store has been restored from an
// older copy since restoredAt, or the context ends.
func (m *Manager) awaitNextRead(ctx context.Context, pause time.Duration, restoredAt boottime.Instant) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		changed := m.options.State.Changed()
		if m.options.State.View().RestoredAt != restoredAt {
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

// readInterval returns the pause after the given number of reads. A router without
// reachable peers goes on at the start interval.
func readInterval(reads, reachable int) time.Duration {
	if reads < startReads || reachable == 0 {
		return startReadInterval
	}
	return directoryReadInterval
}

// applyDirectory adds the listed routers and returns the number of consecutive lists
// without this router. A list may be seconds old, so a single one without it proves
// nothing. A router that watches the store also removes expired entries.
func (m *Manager) applyDirectory(ctx context.Context, zones map[fleet.Address]fleet.Zone, missingCount int) int {
	now := boottime.Now()
	for address, zone := range zones {
		m.add(address, zone, now)
	}
	if !m.directoryRead.Swap(true) {
		close(m.directoryListed)
	}
	if m.WatchesStore() {
		for _, expired := range m.expiredEntries(lo.Keys(zones), now) {
			m.logFailure(ctx, m.options.Directory.Remove(ctx, expired))
		}
	}
	if zone, listed := zones[m.options.Address]; listed && zone == m.options.Zone {
		return 0
	}
	return missingCount + 1
}

// logFailure logs a failed call to the directory, unless the context has ended.
func (m *Manager) logFailure(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	event.GateStoreCallFailed.Log(m.options.Logger, logrus.Fields{"error": err.Error()})
}
