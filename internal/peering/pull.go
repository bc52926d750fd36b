package peering

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

const (
	// pullTimeout is the timeout of a call to another router.
	pullTimeout = 600 * time.Millisecond
	// pullInterval is the minimum interval between two calls. While this router is
	// behind, every received heartbeat would trigger one.
	pullInterval = 200 * time.Millisecond
	// staleListAge is the age of the list of backend servers from which it is pulled from
	// a router whose list is younger by minListAgeGain. A router that reaches the store
	// renews its list within 1.5 seconds.
	staleListAge   = 1600 * time.Millisecond
	minListAgeGain = 500 * time.Millisecond
	// maxCrossZoneDelay bounds how long a router waits for a router of its own
	// availability zone to get state that another zone already has. Each router waits for
	// a random part of it, so that one of them pulls a change from the other zone and the
	// rest pull it from that one.
	maxCrossZoneDelay = 400 * time.Millisecond
)

// puller pulls fleet state from other routers.
type puller struct {
	state   *knowledge.State
	logger  logrus.FieldLogger
	network Network
	onReply func(router fleet.Address, reply *peeringpb.PullReply) // called with each reply
	// busy is whether a call is in progress, and nextAt the earliest time of the next one,
	// on the boot-time clock.
	busy   atomic.Bool
	nextAt atomic.Int64

	// needsFullList is set when applying changes did not lead to the list of the router
	// that sent them, so that the next list is pulled in full.
	needsFullList atomic.Bool

	zone           fleet.Zone
	crossZoneDelay time.Duration    // this router's part of maxCrossZoneDelay
	behindSince    boottime.Instant // when another router first had newer state, 0 if none has
}

func newPuller(state *knowledge.State, zone fleet.Zone, logger logrus.FieldLogger) *puller {
	return &puller{
		state:          state,
		logger:         logger,
		zone:           zone,
		crossZoneDelay: rand.N(maxCrossZoneDelay),
	}
}

// pullIfNewer pulls the fleet state of the heartbeat's sender if it is newer.
// aloneInZone reports whether no other router of this zone is reachable.
func (p *puller) pullIfNewer(ctx context.Context, router fleet.Address, heartbeat *peeringpb.Beat, aloneInZone func(now boottime.Instant) bool, now boottime.Instant) {
	view := p.state.View()
	newer := heartbeat.Version > view.Version() || hasNewerList(view, heartbeat)
	ownAge := now.Sub(view.ListConfirmedAt)
	fresher := heartbeat.ListAge >= 0 && ownAge > staleListAge && ownAge-time.Duration(heartbeat.ListAge) > minListAgeGain
	if !newer && !fresher {
		return
	}
	immediate := !view.Ready() || fleet.Zone(heartbeat.Zone) == p.zone || aloneInZone(now)
	if !immediate && !p.delayElapsed(now) {
		return
	}
	if now < boottime.Instant(p.nextAt.Load()) || !p.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.busy.Store(false)
		p.pull(ctx, router, view)
		p.nextAt.Store(int64(boottime.Now().Add(pullInterval)))
	}()
}

// hasNewerList reports whether the heartbeat's sender has a different and newer list. A
// list of a newer era is pulled once even if it is identical: this router must learn that
// the store was restored from an older copy, which revisions alone cannot show.
func hasNewerList(view *knowledge.View, heartbeat *peeringpb.Beat) bool {
	if heartbeat.Era > view.Position.Era {
		return true
	}
	return view.Position.Before(knowledge.Position{Era: heartbeat.Era, Revision: heartbeat.Revision}) && heartbeat.Digest != view.Digest
}

// delayElapsed reports whether this router has been behind for its part of
// maxCrossZoneDelay.
func (p *puller) delayElapsed(now boottime.Instant) bool {
	if p.behindSince == 0 || now.Sub(p.behindSince) > 2*maxCrossZoneDelay {
		p.behindSince = now // a different change than last time
	}
	return now.Sub(p.behindSince) >= p.crossZoneDelay
}

// pull requests the state that is newer than the view from the router, applies it and logs the
// call.
func (p *puller) pull(ctx context.Context, router fleet.Address, view *knowledge.View) {
	reply, err := p.request(ctx, router, view)
	fields := logrus.Fields{"peer": router, "version": view.Version()}
	if err != nil {
		fields["error"] = fleet.Wrap(err, fleet.StepSpread, router).Error()
	} else {
		fields["version"], fields["era"], fields["revision"] = reply.Version, reply.Era, reply.Revision
	}
	event.GateStatePulled.Log(p.logger, fields)
}

// request requests the state that is newer than the view from the router, and applies it.
func (p *puller) request(ctx context.Context, router fleet.Address, view *knowledge.View) (*peeringpb.PullReply, error) {
	requestedAt := boottime.Now()
	known := p.knownPosition(view)
	reply, err := p.network.Pull(ctx, router, &peeringpb.PullRequest{
		Version: view.Version(), Era: known.Era, Revision: known.Revision, AcceptsChanges: true,
	})
	if err != nil {
		return nil, err
	}
	p.onReply(router, reply)
	return reply, p.apply(reply, known, requestedAt)
}

// knownPosition returns the position since which changes are requested, zero to request
// the complete list.
func (p *puller) knownPosition(view *knowledge.View) knowledge.Position {
	if p.needsFullList.Load() {
		return knowledge.Position{}
	}
	return view.Position
}

// apply applies a reply. known is the position since which the request asked for
// changes.
func (p *puller) apply(reply *peeringpb.PullReply, known knowledge.Position, requestedAt boottime.Instant) error {
	if len(reply.Configuration) > 0 {
		var configuration knowledge.Configuration
		if err := json.Unmarshal(reply.Configuration, &configuration); err != nil {
			return err
		}
		p.state.SetConfiguration(&configuration, configurationConfirmedAt(requestedAt, reply))
	} else {
		p.state.ConfirmConfiguration(reply.Version, configurationConfirmedAt(requestedAt, reply))
	}
	if reply.ListAge < 0 {
		return nil // the sender has no list yet
	}
	at := knowledge.Position{Era: reply.Era, Revision: reply.Revision}
	confirmed := confirmedAt(requestedAt, reply.ListAge)
	switch {
	case reply.Changes:
		return p.applyChanges(reply, knowledge.ListChanges{Since: known, UpTo: at, Removed: reply.Removed}, confirmed)
	case len(reply.Backends) > 0:
		backends, err := p.decodeBackends(reply.Backends)
		if err != nil {
			return err
		}
		p.state.SetBackends(backends, at, confirmed)
		p.needsFullList.Store(false)
	default:
		// An equal position means an identical list, so only its age is new.
		if view := p.state.View(); at == view.Position {
			p.state.ConfirmBackends(view.Digest, confirmed)
		}
	}
	return nil
}

// applyChanges applies a reply that carries changes to the list.
func (p *puller) applyChanges(reply *peeringpb.PullReply, changes knowledge.ListChanges, confirmed boottime.Instant) error {
	if len(reply.Changed) > 0 {
		var err error
		if changes.Changed, err = p.decodeBackends(reply.Changed); err != nil {
			return err
		}
	}
	if !p.state.ApplyListChanges(changes, confirmed) {
		return nil // a newer list has arrived meanwhile
	}
	view := p.state.View()
	// This router's digest includes the backend servers that it retains though missing.
	digestsComparable := reply.Digest != 0 && view.Position == changes.UpTo && len(view.MissingSince) == 0
	p.needsFullList.Store(digestsComparable && view.Digest != reply.Digest)
	return nil
}

// decodeBackends decodes the list of another router, which may run a different version of
// the program. An invalid entry is skipped and the others are kept.
func (p *puller) decodeBackends(encoded []byte) ([]knowledge.Backend, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(encoded, &entries); err != nil {
		return nil, err
	}
	backends := make([]knowledge.Backend, 0, len(entries))
	for _, entry := range entries {
		var backend knowledge.Backend
		err := json.Unmarshal(entry, &backend)
		if err == nil && !backend.Valid() {
			err = errInvalidEntry
		}
		if err != nil {
			event.GateEntryInvalid.Log(p.logger, logrus.Fields{"kind": "peer", "name": backend.ID, "error": err.Error()})
			continue
		}
		backends = append(backends, backend)
	}
	return backends, nil
}

// errInvalidEntry is the error for an entry that lacks a required field.
var errInvalidEntry = errors.New("entry lacks an id, a service or an address")

// configurationConfirmedAt returns when the configuration of a reply was confirmed, 0 if that is
// unknown.
func configurationConfirmedAt(requestedAt boottime.Instant, reply *peeringpb.PullReply) boottime.Instant {
	if reply.ConfigAge < 0 {
		return 0
	}
	return confirmedAt(requestedAt, reply.ConfigAge)
}

// confirmedAt returns the time of a confirmation whose age a reply states. The age counts
// from the request, as the reply may be delayed.
func confirmedAt(requestedAt boottime.Instant, age int64) boottime.Instant {
	return requestedAt.Add(-time.Duration(age))
}
