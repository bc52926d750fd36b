package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/event"
)

// fleetPoll bounds how long a change that nobody tells of may be missed, such
// as the platform's word on a VM that is leaving by its own word already.
const fleetPoll = time.Second

// follower remembers what of the fleet's knowledge the world has.
type follower struct {
	applied  bool // some settings were handed on
	revision uint64
	members  uint64
	leaving  bool
	verdicts int
}

// follow brings changes of the settings, the members and the verdicts to the
// world.
func (m *Manager) follow(ctx context.Context) error {
	var known follower
	for {
		changed := m.options.Fleet.Changed()
		m.applySettings(&known)
		m.applyMembers(&known)
		m.applyVerdicts(&known)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(fleetPoll):
		}
	}
}

func (m *Manager) applySettings(known *follower) {
	view := m.options.Fleet.Settings()
	if view == nil || known.applied && view.Revision() == known.revision {
		return
	}
	known.applied = true
	known.revision = view.Revision()
	service := m.options.Config.Backend.Service
	policy, ok := view.Service(service)
	if !ok {
		event.ServiceNotConfigured.Log(m.options.Logger, logrus.Fields{"service": service, "revision": view.Revision()})
		m.loop.Send(Settings{View: view})
		return
	}
	m.policy.Store(&policy)
	m.showReadiness()
	m.loop.Send(Settings{View: view})
}

func (m *Manager) applyMembers(known *follower) {
	view, leaving := m.options.Fleet.Members(), m.options.Fleet.PlatformLeaving()
	if view.Version == known.members && leaving == known.leaving {
		return
	}
	known.members = view.Version
	known.leaving = leaving
	m.loop.Send(Members{View: view, Leaving: leaving})
}

// applyVerdicts hands on verdicts when their number changes or any is graver.
func (m *Manager) applyVerdicts(known *follower) {
	verdicts := m.options.Fleet.Verdicts()
	weight := 0
	for _, verdict := range verdicts {
		weight += int(verdict.Crashes)
	}
	if weight == known.verdicts {
		return
	}
	known.verdicts = weight
	m.loop.Send(Verdicts{Verdicts: verdicts})
}
