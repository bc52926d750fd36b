package e2e

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

const (
	service = "lm"
	apiKey  = "key"
	account = "org/team/account"
	token   = "e2e"
	// tokenInterval is the time per token at the engines.
	tokenInterval = "2ms"
)

// node is a process of the system with its addresses.
type node struct {
	*process
	control, data fleet.Address
}

// backend is an engine process.
type backend struct {
	*process
	address fleet.Address
}

// cluster is a fleet of processes. Agent i serves backend i.
type cluster struct {
	platform        *platform.Client
	platformAddress fleet.Address
	backends        []backend
	agents          []node
	routers         []node
}

// clusterConfig describes a cluster.
type clusterConfig struct {
	routers, agents int
	slots           int    // 0 for what the engines report
	lease           string // lifetime of grants; empty for the default
	// interpose returns the address that an agent uses instead of its
	// backend's, such as that of a relay; nil stands for the backend's.
	interpose func(fleet.Address) fleet.Address
}

// startCluster starts a fleet and waits until each node is ready and each
// router knows all agents.
func startCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	c := &cluster{platformAddress: addressOf(newHost(), dataPort)}
	start(t, "standin-platform", "--listen", string(c.platformAddress), "--nodes-make-vms", "--vm-lag", "0s")
	c.platform = platform.NewClient(c.platformAddress, platform.ClientOptions{})
	t.Cleanup(c.platform.Close)
	c.putSettings(t, config)
	for range config.agents {
		c.addAgent(t, config.interpose)
	}
	for range config.routers {
		c.addRouter(t)
	}
	for _, n := range append(c.agents, c.routers...) {
		n.awaitReady(t)
	}
	for _, router := range c.routers {
		c.awaitAgents(t, router)
	}
	return c
}

func (c *cluster) putSettings(t *testing.T, config clusterConfig) {
	t.Helper()
	text := fmt.Appendf(nil, "[%s]\napi_key_sha256 = %x\n[services/%s]\nslots = %d\n",
		account, sha256.Sum256([]byte(apiKey)), service, config.slots)
	if config.lease != "" {
		text = fmt.Appendf(text, "grant_lease = %s\n", config.lease)
	}
	eventually(t, "the platform accepts the settings", func() bool {
		result := settings.Bootstrap(context.Background(), c.platform, text, "e2e")
		return result.Outcome == settings.OutcomeAccepted
	})
}

func (c *cluster) addAgent(t *testing.T, between func(fleet.Address) fleet.Address) {
	t.Helper()
	b := backend{address: addressOf(newHost(), dataPort)}
	b.process = start(t, "standin-engine", "--listen", string(b.address), "--name", service, "--step", tokenInterval, "--permit-crash")
	address := b.address
	if between != nil {
		address = between(address)
	}
	c.backends = append(c.backends, b)
	section := fmt.Sprintf("[backend]\nservice = %s\naddress = %s\n", service, address)
	c.agents = append(c.agents, c.startNode(t, "bluebell-agent", section))
}

func (c *cluster) addRouter(t *testing.T) {
	t.Helper()
	c.routers = append(c.routers, c.startNode(t, "bluebell-router", ""))
}

// startNode starts a daemon with an INI file of its own.
func (c *cluster) startNode(t *testing.T, program, section string) node {
	t.Helper()
	host := newHost()
	n := node{control: addressOf(host, controlPort), data: addressOf(host, dataPort)}
	text := fmt.Sprintf(`[node]
vm = vm-%s
zone = a
region = r
control = %s
data = %s
[platform]
address = %s
[control]
token = %s
%s`, host, n.control, n.data, c.platformAddress, token, section)
	path := filepath.Join(t.TempDir(), program+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = start(t, program, "--config", path)
	return n
}

// awaitReady waits until the node reports that it is ready.
func (n node) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s at %s is ready", n.name, n.control), func() bool {
		select {
		case <-n.ended:
			t.Fatalf("%s ended: %v", n.name, n.err)
		default:
		}
		return n.ready()
	})
}

func (n node) ready() bool {
	response, err := http.Get(fmt.Sprintf("http://%s/readyz", n.control))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitAgents sends short calls until each backend has run one of this router.
// Each call has a different prompt, since calls whose prompts share a prefix go
// to one agent.
func (c *cluster) awaitAgents(t *testing.T, router node) {
	t.Helper()
	reached := make(map[fleet.Address]bool)
	eventually(t, "the router reaches all agents", func() bool {
		done := startCall(router, call{tokens: 1, prompt: newKey()})
		answer := <-done
		for _, b := range c.backends {
			if b.runs(t)[answer.request] != nil {
				reached[b.address] = true
			}
		}
		return len(reached) == len(c.backends)
	})
}

// runs returns the runs of a live backend by request id.
func (b backend) runs(t *testing.T) map[string][]engine.Run {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/ledger", b.address))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	runs := make(map[string][]engine.Run)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var run engine.Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			t.Fatal(err)
		}
		runs[run.ID] = append(runs[run.ID], run)
	}
	return runs
}

// findRunning returns the index of a backend with a run in progress that has
// produced tokens, or -1.
func (c *cluster) findRunning(t *testing.T) int {
	t.Helper()
	for i, b := range c.backends {
		for _, runs := range b.runs(t) {
			last := runs[len(runs)-1]
			if last.State == engine.RunRunning && last.FirstTokenNS > 0 {
				return i
			}
		}
	}
	return -1
}

// awaitInProgress waits until the router has at least that many calls waiting or
// dispatched to agents.
func (c *cluster) awaitInProgress(t *testing.T, calls float64) {
	t.Helper()
	eventually(t, "the router has accepted all calls", func() bool {
		return c.routers[0].metric(t, "bluebell_router_waiting_requests")+
			c.routers[0].metric(t, "bluebell_router_in_flight_requests") >= calls
	})
}

// metric returns the value of a gauge without labels.
func (n node) metric(t *testing.T, name string) float64 {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/metrics", n.control))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}
