package spread_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/spread"
)

// testNode is a manager with a control port on loopback.
type testNode struct {
	manager  *spread.Manager
	settings *settings.Replica
	stop     func()
}

type alwaysReady struct{}

func (alwaysReady) NotReady() string { return "" }

// portTries limits the search for a free port: another process may take one
// between its selection and its use.
const portTries = 50

// listen opens a control port and returns its server, registry and metrics.
func listen(t *testing.T) (fleet.Address, *control.Server, *prometheus.Registry, *control.Metrics) {
	t.Helper()
	for range portTries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := fleet.Address(listener.Addr().String())
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		registry := prometheus.NewRegistry()
		metrics := control.NewMetrics(registry)
		server := control.NewServer(control.ServerConfig{
			Address: address, Token: "secret", Metrics: metrics, Gatherer: registry, Readiness: alwaysReady{},
		})
		if server.Listen() == nil {
			return address, server, registry, metrics
		}
	}
	t.Fatal("no free port")
	return "", nil, nil, nil
}

func startNode(t *testing.T, api platform.API, index int, seeds ...fleet.Address) (*testNode, fleet.Address) {
	t.Helper()
	address, server, registry, metrics := listen(t)
	pool := control.NewPool("secret", metrics)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node := &testNode{settings: settings.NewReplica()}
	node.manager = spread.NewManager(spread.Options{
		Config: spread.Config{
			Self:  fleet.Node{VM: fmt.Sprintf("vm-%d", index), Control: address, Zone: "zone", Incarnation: uint64(index + 1)},
			Seeds: seeds,
			// Short, so that the test does not wait long after the outage.
			MaxBackoff: 300 * time.Millisecond,
		},
		Settings: node.settings, Platform: api, Peers: pool, Registerer: registry, Logger: logger,
	})
	server.Register(rpc.NewPeerServer(node.manager))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- server.Run(ctx) }()
	go func() { ended <- node.manager.Run(ctx) }()
	node.stop = func() {
		cancel()
		for range cap(ended) {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		pool.Close()
	}
	return node, address
}

// await waits until the condition holds and checks it after each change.
func (n *testNode) await(t *testing.T, condition func() bool) {
	t.Helper()
	for {
		changed, settled := n.manager.Changed(), n.settings.Changed()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-settled:
		case <-t.Context().Done():
			t.Fatal("the test has ended")
		}
	}
}

// TestManagers runs managers over real ports through a start, an edit, an
// outage with a cold restart, a verdict, a drain and a shutdown.
func TestManagers(t *testing.T) {
	defer goleak.VerifyNone(t)
	store := platform.NewStore(platform.StoreOptions{NodesMakeVMs: true})
	if result := settings.Bootstrap(t.Context(), store, []byte("[partner/team]\nweight = 1\n"), "test"); result.Err != nil {
		t.Fatal(result.Err)
	}
	const count = 3
	var nodes []*testNode
	var seeds []fleet.Address
	for i := range count {
		node, address := startNode(t, store, i, seeds...)
		nodes = append(nodes, node)
		seeds = append(seeds, address)
	}
	for _, node := range nodes {
		<-node.manager.Joined()
		node.await(t, func() bool { return len(node.manager.Members().Nodes) == count && node.settings.Revision() == 1 })
	}
	edit := settings.Edit{Operator: "test", Changes: []settings.Change{
		{Op: settings.OpSet, Path: "partner/team", Key: settings.KeyWeight, After: "2"},
	}}
	result := settings.NewEditor(store, settings.DefaultRetryPolicy()).Submit(t.Context(), edit)
	if result.Outcome != settings.OutcomeAccepted {
		t.Fatal(result)
	}
	nodes[0].await(t, func() bool { return nodes[0].settings.Revision() == result.Revision })
	store.SetFaults(platform.Faults{Down: true})
	late, _ := startNode(t, store, count, seeds...)
	<-late.manager.Joined()
	nodes = append(nodes, late)
	for _, node := range nodes {
		node.await(t, func() bool { return node.settings.Revision() == result.Revision })
	}
	nodes[1].manager.AddVerdict(&rpc.Verdict{Fingerprint: []byte("f"), Crashes: 2, ExpiresMs: 1 << 60})
	late.await(t, func() bool { return len(late.manager.Verdicts()) == 1 })
	nodes[2].manager.SetLeaving(true)
	late.await(t, func() bool {
		for _, node := range late.manager.Members().Nodes {
			if node.Control == seeds[2] {
				return node.State == fleet.VMLeaving
			}
		}
		return false
	})
	store.SetFaults(platform.Faults{})
	nodes[0].await(t, func() bool { return len(nodes[0].manager.Members().Nodes) == count+1 })
	var stopping sync.WaitGroup
	for _, node := range nodes {
		stopping.Go(node.stop)
	}
	stopping.Wait()
	if left, _, _ := store.List(t.Context(), platform.NodePrefix); len(left) != 0 {
		t.Errorf("records remain after shutdown: %v", left)
	}
}
