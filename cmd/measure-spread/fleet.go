package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/spread"
)

const (
	token = "measure"
	// joinTimeout bounds the wait until all nodes have joined.
	joinTimeout = 2 * time.Minute
	// startInterval is the time between the starts of two nodes. It keeps their
	// registrations below the platform's rate limit of writes.
	startInterval = 5 * time.Millisecond
	seedCount     = 3

	accountsPerTeam = 10
)

// alwaysReady makes /readyz succeed.
type alwaysReady struct{}

func (alwaysReady) NotReady() string { return "" }

// testNode is a node of the measured fleet.
type testNode struct {
	manager  *spread.Manager
	settings *settings.Replica
	registry *prometheus.Registry
}

// testFleet is a platform and its nodes, all in one process.
type testFleet struct {
	store   *platform.Store
	server  *platform.Server
	nodes   []*testNode
	cancel  context.CancelFunc
	running sync.WaitGroup
	started time.Time
}

func startFleet(ctx context.Context, o options, config spread.Config) (*testFleet, error) {
	running, cancel := context.WithCancel(ctx)
	f := &testFleet{cancel: cancel, started: time.Now()}
	f.store = platform.NewStore(platform.StoreOptions{NodesMakeVMs: true})
	f.server = platform.NewServer(f.store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	f.running.Go(func() { _ = f.server.Serve(listener) })
	if result := settings.Bootstrap(ctx, f.store, initialSettings(o.Accounts), "measure-spread"); result.Err != nil {
		return nil, errors.Wrap(result.Err, "initial settings")
	}
	addresses, err := freeAddresses(o.Nodes)
	if err != nil {
		return nil, err
	}
	config.Seeds = addresses[:min(seedCount, len(addresses))]
	for i, address := range addresses {
		config.Self = fleet.Node{
			VM:          fmt.Sprintf("vm-%d", i),
			Role:        fleet.RoleAgent,
			Control:     address,
			Zone:        fleet.Zone(fmt.Sprintf("zone-%d", i%o.Zones)),
			Region:      "region",
			Service:     "llm",
			Incarnation: uint64(time.Now().UnixNano()),
		}
		config.Seed = uint64(i)
		f.startNode(running, config, fleet.Address(listener.Addr().String()))
		time.Sleep(startInterval)
	}
	return f, nil
}

func (f *testFleet) startNode(ctx context.Context, config spread.Config, platformAddress fleet.Address) {
	node := &testNode{settings: settings.NewReplica(), registry: prometheus.NewRegistry()}
	metrics := control.NewMetrics(node.registry)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node.manager = spread.NewManager(spread.Options{
		Config:     config,
		Settings:   node.settings,
		Platform:   platform.NewClient(platformAddress, platform.ClientOptions{}),
		Peers:      control.NewPool(token, metrics),
		Registerer: node.registry,
		Logger:     logger,
	})
	server := control.NewServer(control.ServerConfig{
		Address: config.Self.Control, Token: token, Metrics: metrics, Gatherer: node.registry, Readiness: alwaysReady{},
	})
	server.Register(rpc.NewPeerServer(node.manager))
	f.running.Go(func() { _ = server.Run(ctx) })
	f.running.Go(func() { _ = node.manager.Run(ctx) })
	f.nodes = append(f.nodes, node)
}

// stop stops all nodes and the platform and waits for them.
func (f *testFleet) stop() {
	f.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = f.server.Shutdown(ctx)
	f.running.Wait()
}

// waitJoined waits until every node has joined and knows all nodes, and
// returns the time since the start of the first one in milliseconds.
func (f *testFleet) waitJoined(ctx context.Context) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for _, node := range f.nodes {
		select {
		case <-node.manager.Joined():
		case <-bounded.Done():
			return 0, errors.New("not all nodes joined")
		}
		for {
			changed := node.manager.Changed()
			if len(node.manager.Members().Nodes) == len(f.nodes) {
				break
			}
			select {
			case <-changed:
			case <-bounded.Done():
				return 0, errors.New("not all nodes know all others")
			}
		}
	}
	return time.Since(f.started).Milliseconds(), nil
}

// freeAddresses returns loopback addresses that nobody listens on.
func freeAddresses(count int) ([]fleet.Address, error) {
	var addresses []fleet.Address
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		defer listener.Close()
		addresses = append(addresses, fleet.Address(listener.Addr().String()))
	}
	return addresses, nil
}

// initialSettings returns settings with the given number of client accounts,
// grouped in teams.
func initialSettings(accounts int) []byte {
	var text strings.Builder
	for i := range accounts {
		fmt.Fprintf(&text, "[%s/account-%d]\nweight = %d\n", teamOf(i), i, 1+i%accountsPerTeam)
	}
	return []byte(text.String())
}

// teamOf returns the path of an account's team.
func teamOf(account int) settings.Path {
	return settings.Path(fmt.Sprintf("partners/team-%d", account/accountsPerTeam))
}
