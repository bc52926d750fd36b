package peering

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// maxPeerWait is how long a router that could serve otherwise waits for another one that knows
	// the newest configuration, if it can't find out that there is none.
	maxPeerWait = time.Second
	// maxVersionWait is how long a router waits for a configuration that another one has: longer than
	// operators take to repeat the writes that a restored store has lost.
	maxVersionWait = 10 * time.Second
	// maxPendingAsks bounds the calls that wait for a reply at a time. One that has waited for
	// askSlowAfter does not count: its router may be gone, and others must be asked meanwhile.
	maxPendingAsks = 4
	askSlowAfter   = 20 * time.Millisecond
	// askAgainAfter is the time after which a router that did not reply is asked again.
	askAgainAfter   = 100 * time.Millisecond
	newestPollDelay = 5 * time.Millisecond
	// enoughWithoutState is the number of routers without a state from before which show that the
	// whole fleet has started together. In a smaller fleet all must be without.
	enoughWithoutState = 24
)

// newestSearch selects the routers that a starting router asks for their configuration.
type newestSearch struct {
	mu      sync.Mutex
	pending map[fleet.Address]bool
	askedAt map[fleet.Address]boottime.Instant
	// withoutState are the routers that have no configuration from before: they have just started
	// too, or no process runs there.
	withoutState map[fleet.Address]bool
}

func newNewestSearch() *newestSearch {
	return &newestSearch{
		pending:      make(map[fleet.Address]bool),
		askedAt:      make(map[fleet.Address]boottime.Instant),
		withoutState: make(map[fleet.Address]bool),
	}
}

// next returns the routers to ask now.
func (s *newestSearch) next(known []fleet.Address, now boottime.Instant) []fleet.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := lo.CountBy(lo.Keys(s.pending), func(router fleet.Address) bool { return now.Sub(s.askedAt[router]) < askSlowAfter })
	var chosen []fleet.Address
	for _, i := range rand.Perm(len(known)) {
		router := known[i]
		if waiting+len(chosen) >= maxPendingAsks {
			break
		}
		at, asked := s.askedAt[router]
		if s.withoutState[router] || s.pending[router] || asked && now.Sub(at) < askAgainAfter {
			continue
		}
		s.pending[router], s.askedAt[router] = true, now
		chosen = append(chosen, router)
	}
	return chosen
}

// done records that the call to a router has ended.
func (s *newestSearch) done(router fleet.Address, withoutState bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, router)
	if withoutState {
		s.withoutState[router] = true
	}
}

// exhausted reports whether no router has a configuration from before.
func (s *newestSearch) exhausted(known []fleet.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	without := lo.CountBy(known, func(router fleet.Address) bool { return s.withoutState[router] })
	return without == len(known) || without >= enoughWithoutState
}

// The ways in which a starting router finds the newest configuration.
const (
	newestFromRouter = "router"   // another router has told it
	newestFromStore  = "store"    // no other router has a configuration from before
	newestTimeout    = "no reply" // some other routers may, but none has replied
)

// findNewest asks the other routers for their configuration until one has replied, or there is
// none that has a configuration from before this process started. The state is not ready until
// then.
func (m *Manager) findNewest(ctx context.Context) error {
	if !m.options.State.View().AwaitsPeers() {
		return nil
	}
	search := newNewestSearch()
	found := m.askPeers(ctx, search)
	if ctx.Err() != nil {
		return nil
	}
	if found != newestFromRouter {
		m.startedTogether <- len(m.knownRouters()) + 1
	}
	m.options.State.EndPeerWait(0)
	complete := m.awaitPeerVersion(ctx)
	if ctx.Err() != nil {
		return nil
	}
	what := event.GateNewestKnown
	if found == newestTimeout || !complete {
		what = event.GateNewestMissing
	}
	what.Log(m.options.Logger, logrus.Fields{
		"from": found, "version": m.options.State.View().Version(), "complete": complete,
		"asked": len(search.askedAt), "without_state": len(search.withoutState),
		"waited_ms": boottime.Now().Sub(m.started).Milliseconds(),
	})
	return nil
}

// StartedTogether returns a channel that receives the number of routers, this one included, once it
// is known that none of those that reply has run since before this one started.
func (m *Manager) StartedTogether() <-chan int { return m.startedTogether }

// askPeers asks other routers until the wait for them has ended, and returns how.
func (m *Manager) askPeers(ctx context.Context, search *newestSearch) string {
	ctx, cancel := context.WithCancel(ctx)
	var asks sync.WaitGroup
	defer asks.Wait()
	defer cancel()
	replied := make(chan struct{}, 1)
	var askingSince boottime.Instant
	for ctx.Err() == nil {
		now, view, known := boottime.Now(), m.options.State.View(), m.knownRouters()
		if askingSince == 0 && view.Index != nil && view.ListConfirmedAt != 0 {
			askingSince = now
		}
		switch {
		case !view.AwaitsPeers():
			return newestFromRouter
		case askingSince == 0: // without a list of its own, each reply would carry it in full
		case m.directoryRead.Load() && search.exhausted(known):
			return newestFromStore
		case now.Sub(askingSince) >= maxPeerWait:
			return newestTimeout
		default:
			for _, router := range search.next(known, now) {
				asks.Go(func() {
					search.done(router, m.ask(ctx, router))
					select {
					case replied <- struct{}{}:
					default: // the loop is about to run anyway
					}
				})
			}
		}
		select {
		case <-ctx.Done():
		case <-replied:
		case <-time.After(newestPollDelay):
		}
	}
	return newestTimeout
}

// ask requests the newer state of a router. It reports whether the router has no configuration
// from before this process started.
func (m *Manager) ask(ctx context.Context, router fleet.Address) (withoutState bool) {
	reply, err := m.puller.request(ctx, router, m.options.State.View())
	var refusal twirp.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return true // the VM answers, but no process runs there
	case errors.As(err, &refusal):
		return refusal.Code() == twirp.Unavailable // it knows nothing yet
	case err != nil:
		return false
	case reply.ConfigAge < 0:
		return true // it is asking other routers too
	}
	m.options.State.EndPeerWait(reply.Version)
	return false
}

// awaitPeerVersion waits for the configuration that another router has, which is pulled when its
// heartbeats arrive. It returns false if it has not arrived in time.
func (m *Manager) awaitPeerVersion(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxVersionWait)
	defer cancel()
	for {
		changed := m.options.State.Changed()
		if m.options.State.View().KnowsNewest() {
			return true
		}
		select {
		case <-ctx.Done():
			m.options.State.ForgetPeerVersion()
			return false
		case <-changed:
		}
	}
}
