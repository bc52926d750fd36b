package peering

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// workloadSize is the size of a fleet and of its workload.
type workloadSize struct {
	name                  string
	zones, perZone        int
	engines               int
	accounts, backlogged  int
	requestsPerSecond     int
	quietRounds, measured int // rounds before the first request, and measured rounds
}

var (
	hundredRouters = workloadSize{name: "100 routers", zones: 5, perZone: 20, engines: 180, accounts: 100, backlogged: 10, requestsPerSecond: 480, quietRounds: 60, measured: 20}
	wholeFleet     = workloadSize{name: "355 routers", zones: 5, perZone: 71, engines: 640, accounts: 333, backlogged: 33, requestsPerSecond: 1700, quietRounds: 100, measured: 20}
	inTwoYears     = workloadSize{name: "two years", zones: 4, perZone: 87, engines: 630, accounts: 1700, backlogged: 170, requestsPerSecond: 3100, quietRounds: 60, measured: 20}
)

const (
	// backloggedShare is the fraction of requests made by backlogged accounts, and
	// refusedRequests the number of their refused requests for each request that is sent.
	backloggedShare = 0.6
	refusedRequests = 2
	// firstEventDelay is the time until the first event of an answer, meanAnswerTime the
	// mean time from there to its end, and answerTokens its number of tokens.
	firstEventDelay = 300 * time.Millisecond
	meanAnswerTime  = 8 * time.Second
	answerTokens    = 419
	// warmUpRounds is the number of rounds with requests before the measured ones.
	warmUpRounds = 30
)

// workload makes requests at the routers of a simNetwork in simulated time.
type workload struct {
	sim     *simNetwork
	size    workloadSize
	random  *rand.Rand
	locals  []*ledgerLocal
	pending []simRequest // prompt not processed yet
	running []simRequest
}

// simRequest is a request at an engine.
type simRequest struct {
	at           *ledgerLocal
	engine       uint32
	prompt       float64
	promptReadAt boottime.Instant
	endsAt       boottime.Instant
}

// ledgerLocal is a router whose requests start and end.
type ledgerLocal struct {
	*busyLocal
	sim    *simNetwork
	ledger *shares.Ledger
	usages map[fleet.Address]map[fleet.Account]shares.Usage
}

func (l *ledgerLocal) Usages() map[fleet.Account]shares.Usage { return l.ledger.Own(l.sim.now) }
func (l *ledgerLocal) SetUsages(router fleet.Address, usages map[fleet.Account]shares.Usage) {
	if router == otherZones {
		l.usages[router] = usages
	}
}

func newWorkload(f *simNetwork, size workloadSize) *workload {
	c := &workload{sim: f, size: size, random: rand.New(rand.NewPCG(1, 2))}
	for _, address := range f.addresses() {
		local := &ledgerLocal{
			busyLocal: newBusyLocal(0, 1, 1),
			sim:       f,
			ledger:    shares.NewLedger(),
			usages:    make(map[fleet.Address]map[fleet.Account]shares.Usage),
		}
		f.routers[address].SetLocal(local)
		c.locals = append(c.locals, local)
	}
	return c
}

// drawAccount draws the account of a request and reports whether it is backlogged.
func (c *workload) drawAccount() (fleet.Account, bool) {
	number := c.random.IntN(c.size.accounts-c.size.backlogged) + c.size.backlogged
	backlogged := c.random.Float64() < backloggedShare
	if backlogged {
		number = c.random.IntN(c.size.backlogged)
	}
	return fleet.Account(fmt.Sprint("account-", number)), backlogged
}

// startRequest starts a request.
func (c *workload) startRequest() {
	now := c.sim.now
	local := c.locals[c.random.IntN(len(c.locals))]
	engine := knowledge.IncarnationHash(fmt.Sprint("i-", c.random.IntN(c.size.engines)))
	request := simRequest{at: local, engine: engine, prompt: 500 + 3000*c.random.Float64(), promptReadAt: now.Add(firstEventDelay)}
	request.endsAt = request.promptReadAt.Add(time.Duration(-math.Log(1-c.random.Float64()) * float64(meanAnswerTime)))
	account, backlogged := c.drawAccount()
	tokens := request.prompt + answerTokens
	local.ledger.AddRequested(account, tokens, now)
	local.ledger.AddGranted(account, tokens, now)
	if backlogged {
		local.ledger.AddRequested(account, refusedRequests*tokens, now)
	}
	local.add(engine, gate.BackendLoad{Running: 1, Pending: request.prompt, Memory: tokens})
	c.pending = append(c.pending, request)
}

func (l *ledgerLocal) add(engine uint32, load gate.BackendLoad) {
	l.loads[engine] = l.loads[engine].Add(load)
	if l.loads[engine].Running == 0 {
		delete(l.loads, engine)
	}
}

// advance advances the requests to the time of the network.
func (c *workload) advance() {
	now := c.sim.now
	c.pending = slices.DeleteFunc(c.pending, func(request simRequest) bool {
		if request.promptReadAt > now {
			return false
		}
		request.at.add(request.engine, gate.BackendLoad{Pending: -request.prompt})
		c.running = append(c.running, request)
		return true
	})
	c.running = slices.DeleteFunc(c.running, func(request simRequest) bool {
		if request.endsAt > now {
			return false
		}
		request.at.add(request.engine, gate.BackendLoad{Running: -1, Memory: -request.prompt - answerTokens})
		return true
	})
}

// run runs rounds with requests.
func (c *workload) run(rounds int) {
	for range rounds {
		for range c.size.requestsPerSecond / int(time.Second/heartbeatInterval) {
			c.startRequest()
		}
		c.sim.run(1)
		c.advance()
	}
}

// startBacklog starts as many requests as run on average.
func (c *workload) startBacklog() {
	for range int(meanAnswerTime.Seconds()) * c.size.requestsPerSecond {
		c.startRequest()
	}
}

// startLoadedFleet returns a fleet in which all routers know each other and requests have
// been made for warmUpRounds.
func startLoadedFleet(tb testing.TB, size workloadSize) (*simNetwork, *workload) {
	f := newSimNetwork(tb, size.zones, size.perZone)
	c := newWorkload(f, size)
	f.run(size.quietRounds)
	c.startBacklog()
	c.run(warmUpRounds)
	for _, router := range f.routers {
		clear(router.traffic.bytesSinceLog)
	}
	return f, c
}

// BenchmarkTrafficByMessage measures the bytes that a router sends per second, by message
// kind and zone of the receiver, and the aggregates that it receives: for aggregators,
// and the mean of the other routers.
func BenchmarkTrafficByMessage(b *testing.B) {
	for _, size := range []workloadSize{hundredRouters, wholeFleet, inTwoYears} {
		f, c := startLoadedFleet(b, size)
		received := make(map[*Manager]int)
		f.onHeartbeat = func(heartbeat *peeringpb.Beat, bytes int, to *Manager) {
			if carriesAggregate(heartbeat) {
				received[to] += bytes
			}
		}
		c.run(size.measured)
		seconds := float64(size.measured) * heartbeatInterval.Seconds()
		for _, role := range []string{"summing", "other"} {
			b.Run(fmt.Sprintf("%s, %s", size.name, role), func(b *testing.B) {
				for b.Loop() {
					reportTraffic(b, f, received, role == "summing", seconds)
				}
			})
		}
	}
}

// reportTraffic reports the mean over aggregators or over the other routers.
func reportTraffic(b *testing.B, f *simNetwork, received map[*Manager]int, aggregators bool, seconds float64) {
	routers, receivedBytes := 0, 0
	sent := make(map[string]int)
	for _, router := range f.routers {
		if router.isAggregator(f.now) != aggregators {
			continue
		}
		routers++
		receivedBytes += received[router]
		for what, bytes := range router.traffic.bytesSinceLog {
			sent[what] += bytes
		}
	}
	perRouter := 1000 * seconds * float64(routers)
	for _, what := range []string{"beat own", "beat other", "sums own", "sums other"} {
		b.ReportMetric(float64(sent[what])/perRouter, "KB-"+what[:4]+"-"+what[5:])
	}
	b.ReportMetric(float64(receivedBytes)/perRouter, "KB-sums-heard")
}

// carriesAggregate reports whether a heartbeat carries aggregates of zones.
func carriesAggregate(heartbeat *peeringpb.Beat) bool {
	return heartbeat.Sums != nil || heartbeat.SumChanges != nil
}
