package peering

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

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
	// headerTimeout bounds the wait for a call's header.
	headerTimeout = time.Second
)

// puller takes knowledge from other routers.
type puller struct {
	state  *knowledge.State
	logger logrus.FieldLogger
	client *http.Client
	busy   atomic.Bool
	next   atomic.Int64 // boot-time clock
}

func newPuller(state *knowledge.State, logger logrus.FieldLogger) *puller {
	dialer := &net.Dialer{Timeout: pullTimeout}
	return &puller{
		state:  state,
		logger: logger,
		client: &http.Client{
			Timeout:   pullTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		},
	}
}

// consider takes knowledge from the router of the beat when it has newer.
func (p *puller) consider(ctx context.Context, router fleet.Address, beat *peeringpb.Beat, now boottime.Instant) {
	view := p.state.View()
	newer := beat.Version > view.Version() || (beat.Revision > view.Revision && beat.Digest != view.Digest)
	own := now.Sub(view.Listed)
	fresher := beat.ListAge >= 0 && own > listAge && own-time.Duration(beat.ListAge) > listGain
	if !newer && !fresher {
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

func (p *puller) pull(ctx context.Context, router fleet.Address, view *knowledge.View) {
	asked := boottime.Now()
	client := peeringpb.NewKnowledgeProtobufClient("http://"+string(router), p.client)
	reply, err := client.Pull(ctx, &peeringpb.PullRequest{Version: view.Version(), Revision: view.Revision})
	if err == nil {
		err = p.apply(reply, asked)
	}
	fields := logrus.Fields{"peer": router, "version": view.Version()}
	if err != nil {
		fields["error"] = fleet.Wrap(err, fleet.StepSpread, router).Error()
	} else {
		fields["version"], fields["revision"] = reply.Version, reply.Revision
	}
	event.GatePulled.Log(p.logger, fields)
}

func (p *puller) apply(reply *peeringpb.PullReply, asked boottime.Instant) error {
	if len(reply.Configuration) > 0 {
		var configuration knowledge.Configuration
		if err := json.Unmarshal(reply.Configuration, &configuration); err != nil {
			return err
		}
		p.state.SetConfiguration(&configuration, confirmedAt(asked, reply.ConfigAge))
	}
	if len(reply.Backends) > 0 {
		var backends []knowledge.Backend
		if err := json.Unmarshal(reply.Backends, &backends); err != nil {
			return err
		}
		p.state.SetBackends(backends, reply.Revision, confirmedAt(asked, reply.ListAge))
	}
	return nil
}

// confirmedAt returns the moment of a confirmation of the given age, as told
// in answer to a call. The age counts from the call: the answer may be late.
func confirmedAt(asked boottime.Instant, age int64) boottime.Instant {
	return asked.Add(-time.Duration(age))
}

// server answers the calls of other routers.
type server struct {
	state *knowledge.State
}

// Pull implements peeringpb.Knowledge.
func (s *server) Pull(_ context.Context, request *peeringpb.PullRequest) (*peeringpb.PullReply, error) {
	view := s.state.View()
	if !view.Ready() {
		return nil, twirp.NewError(twirp.Unavailable, "nothing is known yet")
	}
	now := boottime.Now()
	reply := &peeringpb.PullReply{
		Version:   view.Version(),
		ConfigAge: age(view.Configured, now),
		Revision:  view.Revision,
		ListAge:   age(view.Listed, now),
	}
	var err error
	if view.Version() > request.Version {
		if reply.Configuration, err = json.Marshal(view.Index.Configuration); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	if reply.Backends, err = json.Marshal(listed(view)); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return reply, nil
}

// listed returns the backend servers but for those that are only kept because
// they may come back.
func listed(view *knowledge.View) []knowledge.Backend {
	backends := make([]knowledge.Backend, 0, len(view.Backends))
	for id, backend := range view.Backends {
		if _, absent := view.Absent[id]; !absent {
			backends = append(backends, *backend)
		}
	}
	return backends
}

// serveCalls answers other routers and operators until the context ends.
func (m *Manager) serveCalls(ctx context.Context) error {
	address := m.options.Address
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return fleet.Wrap(err, fleet.StepSpread, address)
	}
	mux := http.NewServeMux()
	mux.Handle(peeringpb.KnowledgePathPrefix, peeringpb.NewKnowledgeServer(&server{state: m.options.State}))
	mux.Handle(peeringpb.OperationPathPrefix, peeringpb.NewOperationServer(&operation{manager: m}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // calls are repeated elsewhere
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fleet.Wrap(err, fleet.StepSpread, address)
	}
	return nil
}
