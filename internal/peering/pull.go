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
	// pullTimeout bounds one call to another router.
	pullTimeout = 600 * time.Millisecond
	// pullPause is the pause between two calls, as every beat asks for one
	// while this router is behind.
	pullPause = 200 * time.Millisecond
	// listAge is the age from which the list of backend servers is taken from
	// a router whose list is fresher by listGain. A router that the store
	// reaches renews its list within one and a half seconds.
	listAge  = 1600 * time.Millisecond
	listGain = 500 * time.Millisecond
	// farPause bounds how long a router waits for one of its own availability zone
	// to have what another zone's has. Each waits for a part of it that is drawn, so
	// one of a zone takes a change across and the others take it from that one.
	farPause = 400 * time.Millisecond
)

// puller takes knowledge from other routers.
type puller struct {
	state   *knowledge.State
	logger  logrus.FieldLogger
	network Network
	pulled  func(router fleet.Address, reply *peeringpb.PullReply) // is told of each reply
	busy    atomic.Bool
	next    atomic.Int64 // boot-time clock

	// whole tells that the list did not become that of the router that told its changes,
	// so that the next one is taken whole.
	whole atomic.Bool

	zone     fleet.Zone
	patience time.Duration    // this router's part of farPause
	behind   boottime.Instant // since when another router has newer, 0 for not
}

func newPuller(state *knowledge.State, zone fleet.Zone, logger logrus.FieldLogger) *puller {
	return &puller{
		state:    state,
		logger:   logger,
		zone:     zone,
		patience: rand.N(farPause),
	}
}

// consider takes knowledge from the router of the beat when it has newer. alone
// tells that no other router of this zone is heard.
func (p *puller) consider(ctx context.Context, router fleet.Address, beat *peeringpb.Beat, alone func(now boottime.Instant) bool, now boottime.Instant) {
	view := p.state.View()
	newer := beat.Version > view.Version() || newerList(view, beat)
	own := now.Sub(view.ListConfirmedAt)
	fresher := beat.ListAge >= 0 && own > listAge && own-time.Duration(beat.ListAge) > listGain
	if !newer && !fresher {
		return
	}
	hasty := !view.Ready() || fleet.Zone(beat.Zone) == p.zone || alone(now)
	if !hasty && !p.waited(now) {
		return
	}
	if now < boottime.Instant(p.next.Load()) || !p.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.busy.Store(false)
		p.pull(ctx, router, view)
		p.next.Store(int64(boottime.Now().Add(pullPause)))
	}()
}

// newerList tells whether the beat's router has another and newer list. One of a newer era
// is taken even if it is the same, once for each era: the router must know that the store
// has lost something, and by revisions it could not tell.
func newerList(view *knowledge.View, beat *peeringpb.Beat) bool {
	if beat.Era > view.Position.Era {
		return true
	}
	return view.Position.Before(knowledge.Position{Era: beat.Era, Revision: beat.Revision}) && beat.Digest != view.Digest
}

// waited tells whether this router has been behind for its part of farPause.
func (p *puller) waited(now boottime.Instant) bool {
	if p.behind == 0 || now.Sub(p.behind) > 2*farPause {
		p.behind = now // of another change than the last time
	}
	return now.Sub(p.behind) >= p.patience
}

func (p *puller) pull(ctx context.Context, router fleet.Address, view *knowledge.View) {
	asked := boottime.Now()
	known := p.known(view)
	reply, err := p.network.Pull(ctx, router, &peeringpb.PullRequest{
		Version: view.Version(), Era: known.Era, Revision: known.Revision, AcceptsChanges: true,
	})
	if err == nil {
		p.pulled(router, reply)
		err = p.apply(reply, known, asked)
	}
	fields := logrus.Fields{"peer": router, "version": view.Version()}
	if err != nil {
		fields["error"] = fleet.Wrap(err, fleet.StepSpread, router).Error()
	} else {
		fields["version"], fields["era"], fields["revision"] = reply.Version, reply.Era, reply.Revision
	}
	event.GateStatePulled.Log(p.logger, fields)
}

// known returns the position of the list to which changes are asked for.
func (p *puller) known(view *knowledge.View) knowledge.Position {
	if p.whole.Load() {
		return knowledge.Position{}
	}
	return view.Position
}

// apply takes a reply to a call that named the known list.
func (p *puller) apply(reply *peeringpb.PullReply, known knowledge.Position, asked boottime.Instant) error {
	if len(reply.Configuration) > 0 {
		var configuration knowledge.Configuration
		if err := json.Unmarshal(reply.Configuration, &configuration); err != nil {
			return err
		}
		p.state.SetConfiguration(&configuration, confirmedAt(asked, reply.ConfigAge))
	}
	if reply.ListAge < 0 {
		return nil // it has no list yet
	}
	at := knowledge.Position{Era: reply.Era, Revision: reply.Revision}
	confirmed := confirmedAt(asked, reply.ListAge)
	switch {
	case reply.Changes:
		return p.applyChanges(reply, knowledge.ListChanges{Since: known, UpTo: at, Removed: reply.Removed}, confirmed)
	case len(reply.Backends) > 0:
		backends, err := p.decodeBackends(reply.Backends)
		if err != nil {
			return err
		}
		p.state.SetBackends(backends, at, confirmed)
		p.whole.Store(false)
	default:
		// The same position means the same list, of which only the age is new.
		if view := p.state.View(); at == view.Position {
			p.state.ConfirmBackends(view.Digest, confirmed)
		}
	}
	return nil
}

// applyChanges takes the list of a reply that tells changes.
func (p *puller) applyChanges(reply *peeringpb.PullReply, changes knowledge.ListChanges, confirmed boottime.Instant) error {
	if len(reply.Changed) > 0 {
		var err error
		if changes.Changed, err = p.decodeBackends(reply.Changed); err != nil {
			return err
		}
	}
	if !p.state.ApplyListChanges(changes, confirmed) {
		return nil // a newer list has come meanwhile
	}
	view := p.state.View()
	comparable := reply.Digest != 0 && view.Position == changes.UpTo && len(view.MissingSince) == 0
	p.whole.Store(comparable && view.Digest != reply.Digest)
	return nil
}

// decodeBackends decodes a list of another router, which may run another version
// of the program. An entry that can't be used does not take the others with it.
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
			err = errNotWhole
		}
		if err != nil {
			event.GateEntryInvalid.Log(p.logger, logrus.Fields{"kind": "peer", "name": backend.ID, "error": err.Error()})
			continue
		}
		backends = append(backends, backend)
	}
	return backends, nil
}

// errNotWhole tells that an entry of another router names no backend server.
var errNotWhole = errors.New("an entry without id, service or address")

// confirmedAt returns the moment of a confirmation of the given age, as told
// in answer to a call. The age counts from the call: the answer may be late.
func confirmedAt(asked boottime.Instant, age int64) boottime.Instant {
	return asked.Add(-time.Duration(age))
}
