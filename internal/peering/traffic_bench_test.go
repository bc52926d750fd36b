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

// fleetSize is a fleet and the requests that its callers make.
type fleetSize struct {
	name                  string
	zones, perZone        int
	engines               int
	accounts, backlogged  int
	requestsPerSecond     int
	quietRounds, measured int // rounds before the requests begin, and rounds that count
}

var (
	hundredRouters = fleetSize{name: "100 routers", zones: 5, perZone: 20, engines: 180, accounts: 100, backlogged: 10, requestsPerSecond: 480, quietRounds: 60, measured: 20}
	wholeFleet     = fleetSize{name: "355 routers", zones: 5, perZone: 71, engines: 640, accounts: 333, backlogged: 33, requestsPerSecond: 1700, quietRounds: 100, measured: 20}
	inTwoYears     = fleetSize{name: "two years", zones: 4, perZone: 87, engines: 630, accounts: 1700, backlogged: 170, requestsPerSecond: 3100, quietRounds: 60, measured: 20}
)

const (
	// backloggedShare is the share of requests that the backlogged accounts make, and
	// refusedRequests is how many requests of theirs are refused for each that is sent.
	backloggedShare = 0.6
	refusedRequests = 2
	// readTime is the time until the first event of an answer, answerTime the mean time
	// until its end, and answerTokens its tokens.
	readTime     = 300 * time.Millisecond
	answerTime   = 8 * time.Second
	answerTokens = 419
	// warmRounds are the rounds with requests before figures are taken.
	warmRounds = 30
)

// callers make requests at the routers of a fabric in simulated time.
type callers struct {
	fabric  *fabric
	size    fleetSize
	random  *rand.Rand
	locals  []*calledLocal
	pending []calledRequest // prompt not read yet
	running []calledRequest
}

// calledRequest is a request at an engine.
type calledRequest struct {
	at     *calledLocal
	engine uint32
	prompt float64
	read   boottime.Instant
	ends   boottime.Instant
}

// calledLocal is a router with requests that begin and end.
type calledLocal struct {
	*busyLocal
	fabric *fabric
	ledger *shares.Ledger
	heard  map[fleet.Address]map[fleet.Account]shares.Usage
}

func (l *calledLocal) Usages() map[fleet.Account]shares.Usage { return l.ledger.Own(l.fabric.now) }
func (l *calledLocal) SetUsages(router fleet.Address, uses map[fleet.Account]shares.Usage) {
	if router == elsewhere {
		l.heard[router] = uses
	}
}

func newCallers(f *fabric, size fleetSize) *callers {
	c := &callers{fabric: f, size: size, random: rand.New(rand.NewPCG(1, 2))}
	for _, address := range f.addresses() {
		local := &calledLocal{
			busyLocal: newBusyLocal(0, 1, 1),
			fabric:    f,
			ledger:    shares.NewLedger(),
			heard:     make(map[fleet.Address]map[fleet.Account]shares.Usage),
		}
		f.routers[address].SetLocal(local)
		c.locals = append(c.locals, local)
	}
	return c
}

// account draws the account of a request and tells whether it is backlogged.
func (c *callers) account() (fleet.Account, bool) {
	number := c.random.IntN(c.size.accounts-c.size.backlogged) + c.size.backlogged
	backlogged := c.random.Float64() < backloggedShare
	if backlogged {
		number = c.random.IntN(c.size.backlogged)
	}
	return fleet.Account(fmt.Sprint("account-", number)), backlogged
}

// begin begins a request.
func (c *callers) begin() {
	now := c.fabric.now
	local := c.locals[c.random.IntN(len(c.locals))]
	engine := knowledge.IncarnationHash(fmt.Sprint("i-", c.random.IntN(c.size.engines)))
	request := calledRequest{at: local, engine: engine, prompt: 500 + 3000*c.random.Float64(), read: now.Add(readTime)}
	request.ends = request.read.Add(time.Duration(-math.Log(1-c.random.Float64()) * float64(answerTime)))
	account, backlogged := c.account()
	tokens := request.prompt + answerTokens
	local.ledger.AddRequested(account, tokens, now)
	local.ledger.AddGranted(account, tokens, now)
	if backlogged {
		local.ledger.AddRequested(account, refusedRequests*tokens, now)
	}
	local.add(engine, gate.BackendLoad{Running: 1, Pending: request.prompt, Memory: tokens})
	c.pending = append(c.pending, request)
}

func (l *calledLocal) add(engine uint32, load gate.BackendLoad) {
	l.loads[engine] = l.loads[engine].Add(load)
	if l.loads[engine].Running == 0 {
		delete(l.loads, engine)
	}
}

// pass lets the requests go on until the moment of the fabric.
func (c *callers) pass() {
	now := c.fabric.now
	c.pending = slices.DeleteFunc(c.pending, func(request calledRequest) bool {
		if request.read > now {
			return false
		}
		request.at.add(request.engine, gate.BackendLoad{Pending: -request.prompt})
		c.running = append(c.running, request)
		return true
	})
	c.running = slices.DeleteFunc(c.running, func(request calledRequest) bool {
		if request.ends > now {
			return false
		}
		request.at.add(request.engine, gate.BackendLoad{Running: -1, Memory: -request.prompt - answerTokens})
		return true
	})
}

// play plays rounds with requests.
func (c *callers) play(rounds int) {
	for range rounds {
		for range c.size.requestsPerSecond / int(time.Second/beatInterval) {
			c.begin()
		}
		c.fabric.play(1)
		c.pass()
	}
}

// fill begins as many requests as run in the mean.
func (c *callers) fill() {
	for range int(answerTime.Seconds()) * c.size.requestsPerSecond {
		c.begin()
	}
}

// callFleet returns a fleet in which all know each other and callers have made requests for
// a while.
func callFleet(tb testing.TB, size fleetSize) (*fabric, *callers) {
	f := newFabric(tb, size.zones, size.perZone)
	c := newCallers(f, size)
	f.play(size.quietRounds)
	c.fill()
	c.play(warmRounds)
	for _, router := range f.routers {
		clear(router.traffic.since)
	}
	return f, c
}

// BenchmarkTrafficByMessage is what a router sends in a second, by message and availability
// zone of the receiver, and the sums that it hears: one that sums its zone, and the others
// in the mean.
func BenchmarkTrafficByMessage(b *testing.B) {
	for _, size := range []fleetSize{hundredRouters, wholeFleet, inTwoYears} {
		f, c := callFleet(b, size)
		heard := make(map[*Manager]int)
		f.took = func(beat *peeringpb.Beat, bytes int, to *Manager) {
			if carriesSums(beat) {
				heard[to] += bytes
			}
		}
		c.play(size.measured)
		seconds := float64(size.measured) * beatInterval.Seconds()
		for _, role := range []string{"summing", "other"} {
			b.Run(fmt.Sprintf("%s, %s", size.name, role), func(b *testing.B) {
				for b.Loop() {
					reportTraffic(b, f, heard, role == "summing", seconds)
				}
			})
		}
	}
}

// reportTraffic reports the mean over the routers of a role.
func reportTraffic(b *testing.B, f *fabric, heard map[*Manager]int, summing bool, seconds float64) {
	routers, sums := 0, 0
	sent := make(map[string]int)
	for _, router := range f.routers {
		if router.summing(f.now) != summing {
			continue
		}
		routers++
		sums += heard[router]
		for what, bytes := range router.traffic.since {
			sent[what] += bytes
		}
	}
	perRouter := 1000 * seconds * float64(routers)
	for _, what := range []string{"beat own", "beat other", "sums own", "sums other"} {
		b.ReportMetric(float64(sent[what])/perRouter, "KB-"+what[:4]+"-"+what[5:])
	}
	b.ReportMetric(float64(sums)/perRouter, "KB-sums-heard")
}

// carriesSums tells whether a beat carries the use of whole zones.
func carriesSums(beat *peeringpb.Beat) bool { return beat.Sums != nil || beat.SumChanges != nil }
