package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// The model steps a fleet of servers in time: each slot streams the tokens of
// one request, and a freed slot is given by the real Clocks, which report to
// real Homes. Only the network and the engines are made up.

const (
	modelStep   = 20 * time.Millisecond
	modelWarmUp = 20 * time.Second
	modelSpeed  = 200.0 // tokens a second and slot
	modelMean   = 600.0 // mean cost of a request in tokens
	modelSigma  = 1.0   // of the cost's logarithm
	modelMost   = 8192.0
	modelVisit  = 5.0             // mean seconds for which accounts come and stay away
	modelOutage = 3 * time.Second // until agents report to the home that replaces a lost one

	// idealShare is one queue that knows all costs and charges them whole
	// when a request begins, as the textbook's fair queueing does.
	idealShare = settings.SharePolicy("ideal")
	// liveShare is one queue that also knows at each moment what every slot
	// has given and will give within liveHorizon.
	liveShare   = settings.SharePolicy("live")
	liveHorizon = 0.5 // seconds
)

// modelStart is the time at which a model begins.
var modelStart = time.Unix(1_700_000_000, 0)

// scenario is one cell of a table.
type scenario struct {
	name     string
	share    settings.SharePolicy
	servers  int
	slots    int
	accounts int
	large    int // the first accounts reach all servers
	reach    int // servers that the others reach; 0 is all
	interval time.Duration
	homes    int
	window   Units
	duration time.Duration

	routers  int                                                     // accounts are spread over them
	pinned   bool                                                    // each account is wholly on one router
	slow     int                                                     // servers that are ten times slower
	plain    bool                                                    // cost is known only at the end
	hint     func(rng *rand.Rand, account int, cost float64) float64 // nil is no hint
	replaced int                                                     // servers replaced during the run
	loseHome bool
	cutAt    time.Duration // servers and routers fall into halves for cutFor
	cutFor   time.Duration
	scale    func(at time.Duration) int // servers in use
	flood    bool                       // account 0 floods, the others come and go
	lossy    float64                    // reports or replies lost
	load     []modelLoad                // of each account; nil is equal accounts
	speed    float64                    // tokens a second and slot; 0 is modelSpeed
}

// modelLoad is what one account asks for.
type modelLoad struct {
	weight float64
	mean   float64 // cost of a request
	sigma  float64
}

// outcome is what one run gave, in tokens per weight.
type outcome struct {
	gap      float64 // over the run after the warm-up
	gapCut   float64 // while cut
	gapAfter float64 // from five seconds after the end of the cut
	shareCut float64 // smallest share of the accounts from the cut until five seconds after it
	use      float64
}

type modelRequest struct {
	id      fleet.RequestID
	account int
	left    float64
	cost    float64
	clocks  *Clocks
}

type modelServer struct {
	address  fleet.Address
	clocks   *Clocks
	slots    []*modelRequest
	speed    float64
	reportAt time.Duration
	robin    int
	up       bool
}

type modelHome struct {
	id      HomeID
	home    *Home
	host    int
	readyAt time.Duration // until then reports to it are lost
}

type model struct {
	s       scenario
	rng     *rand.Rand
	now     time.Duration
	servers []*modelServer
	routers []*Clocks
	homes   []*modelHome
	names   []fleet.Account
	reaches [][]bool
	service []float64
	oracle  []float64 // the ideal's clocks
	lifted  []float64 // of the live ideal's clocks
	backlog []bool
	nextID  int
	made    uint64
	run     *gapTracker
	cut     *gapTracker
	after   *gapTracker
	busy    float64
	offered float64
}

func newModel(s scenario, seed uint64) *model {
	if s.speed == 0 {
		s.speed = modelSpeed
	}
	if s.load == nil {
		s.load = slices.Repeat([]modelLoad{{1, modelMean, modelSigma}}, s.accounts)
	}
	m := &model{s: s, rng: rand.New(rand.NewPCG(seed, 7))}
	for a := range s.accounts {
		m.names = append(m.names, fleet.Account(fmt.Sprintf("org/team-%d/account-%d", a%4, a)))
		reach := make([]bool, s.servers)
		for n, server := range m.rng.Perm(s.servers) {
			reach[server] = s.reach == 0 || a < s.large || n < s.reach
		}
		m.reaches = append(m.reaches, reach)
		m.backlog = append(m.backlog, true)
	}
	m.service = make([]float64, s.accounts)
	m.oracle = make([]float64, s.accounts)
	m.lifted = make([]float64, s.accounts)
	for range max(1, s.routers) {
		m.routers = append(m.routers, m.newClocks())
	}
	for i := range s.servers {
		server := &modelServer{slots: make([]*modelRequest, s.slots), speed: s.speed, up: true}
		if i < s.slow {
			server.speed /= 10
		}
		m.servers = append(m.servers, server)
		m.restart(server)
	}
	for i := range s.homes {
		m.homes = append(m.homes, m.newHome(i))
	}
	m.run, m.cut, m.after = newGapTracker(s.accounts), newGapTracker(s.accounts), newGapTracker(s.accounts)
	return m
}

func (m *model) config() Config {
	return Config{Share: m.s.share, Window: m.s.window, ReportInterval: m.s.interval}
}

func (m *model) newClocks() *Clocks {
	clocks := NewClocks(m.config())
	clocks.SetSeed(m.rng.Uint64())
	for a, name := range m.names {
		clocks.SetWeight(name, m.s.load[a].weight)
	}
	return clocks
}

func (m *model) weight(name fleet.Account) float64 {
	return m.s.load[slices.Index(m.names, name)].weight
}

// restart puts an empty agent in the place of a server's agent.
func (m *model) restart(server *modelServer) {
	m.made++
	server.address = fleet.Address(fmt.Sprintf("10.0.%d.%d:7000", m.made/250, m.made%250))
	server.clocks = m.newClocks()
	server.reportAt = m.now + time.Duration(m.rng.Float64()*float64(m.s.interval))
	for i, r := range server.slots {
		if r != nil && r.clocks != server.clocks {
			r.clocks.Abandon(r.id)
		}
		server.slots[i] = nil
	}
}

func (m *model) newHome(host int) *modelHome {
	m.made++
	id := HomeID{Address: m.servers[host].address, Incarnation: m.made}
	return &modelHome{id: id, host: host, home: NewHome(m.config(), m.weight)}
}

func (m *model) isCut() bool {
	return m.s.cutFor > 0 && m.now >= m.s.cutAt && m.now < m.s.cutAt+m.s.cutFor
}

// apart tells whether a partition lies between two servers or routers.
func (m *model) apart(a, b int) bool { return m.isCut() && a%2 != b%2 }

// reachable tells whether a server can be given work of an account.
func (m *model) reachable(account, server int) bool {
	if !m.backlog[account] || !m.reaches[account][server] {
		return false
	}
	if !m.s.pinned {
		return true
	}
	return !m.apart(account%max(1, m.s.routers), server)
}

func (m *model) play() outcome {
	for m.now = 0; m.now < m.s.duration; m.now += modelStep {
		m.faults()
		m.arrivals()
		for i, server := range m.servers {
			if server.up {
				m.serve(i, server)
			}
		}
		m.report()
		m.measure()
	}
	return m.outcome()
}

func (m *model) faults() {
	if m.s.scale != nil {
		want := m.s.scale(m.now)
		for i, server := range m.servers {
			if server.up != (i < want) {
				server.up = i < want
				m.restart(server)
			}
		}
	}
	for n := range m.s.replaced {
		at := modelWarmUp + (m.s.duration-modelWarmUp)*time.Duration(n+1)/time.Duration(m.s.replaced+1)
		if m.now == at.Truncate(modelStep) {
			m.restart(m.servers[n])
		}
	}
	for i, home := range m.homes {
		gone := m.servers[home.host].address != home.id.Address || !m.servers[home.host].up
		if m.s.loseHome && i == 0 && m.now == (m.s.duration/2).Truncate(modelStep) {
			gone = true
		}
		if gone {
			for host := range m.servers {
				if m.servers[host].up && host != home.host && host >= len(m.homes) {
					m.homes[i] = m.newHome(host)
					break
				}
			}
			m.homes[i].readyAt = m.now + modelOutage
		}
	}
}

// arrivals makes small accounts come and go while account 0 floods.
func (m *model) arrivals() {
	if !m.s.flood {
		return
	}
	for a := 1; a < m.s.accounts; a++ {
		if m.rng.Float64() < modelStep.Seconds()/modelVisit {
			m.backlog[a] = !m.backlog[a]
			m.lift(a)
		}
	}
}

// lift puts the ideal's clocks of an account that returns from idleness at the
// mean of the others.
func (m *model) lift(account int) {
	if !m.backlog[account] {
		return
	}
	lifted := func(clocks []float64) float64 {
		sum, count := 0.0, 0.0
		for a, clock := range clocks {
			if m.backlog[a] && a != account {
				sum += clock
				count++
			}
		}
		return max(0, sum/count-clocks[account])
	}
	m.oracle[account] += lifted(m.oracle)
	m.lifted[account] += lifted(m.expected())
}

func (m *model) serve(index int, server *modelServer) {
	for i, r := range server.slots {
		m.offered += server.speed * modelStep.Seconds()
		if r == nil {
			server.slots[i] = m.begin(index, server)
			continue
		}
		done := min(r.left, server.speed*modelStep.Seconds())
		m.busy += done
		m.service[r.account] += done / m.s.load[r.account].weight
		r.left -= done
		if !m.s.plain {
			r.clocks.Charge(r.id, Units(done))
		}
		if r.left <= 0 {
			r.clocks.Settle(r.id, Units(r.cost))
			server.slots[i] = m.begin(index, server)
		}
	}
}

func (m *model) begin(index int, server *modelServer) *modelRequest {
	account, clocks := m.pick(index, server)
	if account < 0 {
		return nil
	}
	m.nextID++
	load := m.s.load[account]
	cost := math.Exp(math.Log(load.mean) - load.sigma*load.sigma/2 + load.sigma*m.rng.NormFloat64())
	cost = max(1, math.Round(min(cost, modelMost)))
	hint := Hint{}
	if m.s.hint != nil {
		hint.Output = Units(m.s.hint(m.rng, account, cost))
	}
	r := &modelRequest{id: request(m.nextID), account: account, left: cost, cost: cost, clocks: clocks}
	clocks.Begin(r.id, m.names[account], hint)
	m.oracle[account] += cost / load.weight
	return r
}

// pick asks the clocks that the policy says which account comes next.
func (m *model) pick(index int, server *modelServer) (int, *Clocks) {
	clocks := server.clocks
	if m.s.share == settings.ShareRouterLocal {
		for range m.routers {
			server.robin++
			router := server.robin % len(m.routers)
			if m.apart(router, index) {
				continue
			}
			m.offer(m.routers[router], router)
			account := m.choose(m.routers[router], index, func(a int) bool {
				return !m.s.pinned || a%len(m.routers) == router
			})
			if account >= 0 {
				return account, m.routers[router]
			}
		}
		return -1, nil
	}
	return m.choose(clocks, index, func(int) bool { return true }), clocks
}

// offer notes what waits at a router.
func (m *model) offer(clocks *Clocks, router int) {
	for a, name := range m.names {
		clocks.Offered(name, m.backlog[a] && (!m.s.pinned || a%len(m.routers) == router))
	}
}

func (m *model) choose(clocks *Clocks, server int, admit func(int) bool) int {
	var candidates []fleet.Account
	for _, a := range m.rng.Perm(m.s.accounts) {
		can := m.reachable(a, server) && admit(a)
		if m.s.share == settings.ShareFleet || m.s.share == settings.ShareAgentLocal {
			clocks.Offered(m.names[a], can)
		}
		if can {
			candidates = append(candidates, m.names[a])
		}
	}
	switch m.s.share {
	case idealShare:
		return m.smallest(candidates, m.oracle)
	case liveShare:
		return m.smallest(candidates, m.expected())
	}
	best, _ := clocks.Pick(candidates)
	return slices.Index(m.names, best)
}

func (m *model) smallest(candidates []fleet.Account, clocks []float64) int {
	best := -1
	for _, name := range candidates {
		a := slices.Index(m.names, name)
		if best < 0 || clocks[a] < clocks[best] {
			best = a
		}
	}
	return best
}

// expected is what each account will have been given at the live horizon.
func (m *model) expected() []float64 {
	expected := slices.Clone(m.service)
	for a := range expected {
		expected[a] += m.lifted[a]
	}
	for _, server := range m.servers {
		for _, r := range server.slots {
			if r != nil {
				expected[r.account] += min(r.left, server.speed*liveHorizon) / m.s.load[r.account].weight
			}
		}
	}
	return expected
}

func (m *model) report() {
	if m.now%m.s.interval == 0 {
		for _, router := range m.routers {
			router.Advance(modelStart.Add(m.now))
		}
	}
	for i, server := range m.servers {
		if !server.up || m.now < server.reportAt {
			continue
		}
		server.reportAt = m.now + time.Duration((0.9+0.2*m.rng.Float64())*float64(m.s.interval))
		server.clocks.Advance(modelStart.Add(m.now))
		for h, home := range m.homes {
			if m.s.share != settings.ShareFleet {
				break
			}
			report := server.clocks.Charges(home.id.Address, func(name fleet.Account) bool {
				return slices.Index(m.names, name)%len(m.homes) == h
			})
			report.Agent, report.Incarnation = server.address, uint64(1)
			if m.apart(i, home.host) || m.now < home.readyAt || m.rng.Float64() < m.s.lossy {
				continue
			}
			reply := home.home.Take(modelStart.Add(m.now), report)
			if m.rng.Float64() >= m.s.lossy {
				server.clocks.Learn(home.id, report.Sequence, reply)
			}
		}
	}
}

func (m *model) measure() {
	if m.now < modelWarmUp {
		m.busy, m.offered = 0, 0
		return
	}
	m.run.sample(m.service, m.backlog)
	end := m.s.cutAt + m.s.cutFor
	if m.isCut() {
		m.cut.sample(m.service, m.backlog)
	}
	if m.now < end+5*time.Second {
		m.cut.mark(m.service, m.now >= m.s.cutAt)
	}
	if m.s.cutFor > 0 && m.now >= end+5*time.Second {
		m.after.sample(m.service, m.backlog)
	}
}

func (m *model) outcome() outcome {
	return outcome{
		gap: m.run.gap, gapCut: m.cut.gap, gapAfter: m.after.gap,
		shareCut: m.cut.smallestShare(), use: m.busy / m.offered,
	}
}

// gapTracker finds the largest difference of service between two accounts over
// any span in which both were backlogged.
type gapTracker struct {
	low, high [][]float64 // of the pair's difference while both are backlogged
	gap       float64
	from, to  []float64 // service at the ends of the marked span
}

func newGapTracker(accounts int) *gapTracker {
	g := &gapTracker{}
	for range accounts {
		g.low = append(g.low, slices.Repeat([]float64{math.Inf(1)}, accounts))
		g.high = append(g.high, slices.Repeat([]float64{math.Inf(-1)}, accounts))
	}
	return g
}

func (g *gapTracker) sample(service []float64, backlog []bool) {
	for a := range service {
		for b := range a {
			if !backlog[a] || !backlog[b] {
				g.low[a][b], g.high[a][b] = math.Inf(1), math.Inf(-1)
				continue
			}
			difference := service[a] - service[b]
			g.low[a][b] = min(g.low[a][b], difference)
			g.high[a][b] = max(g.high[a][b], difference)
			g.gap = max(g.gap, g.high[a][b]-g.low[a][b])
		}
	}
}

func (g *gapTracker) mark(service []float64, within bool) {
	if !within || g.from == nil {
		g.from = slices.Clone(service)
	}
	g.to = slices.Clone(service)
}

// smallestShare is the least service in the marked span over the mean service.
func (g *gapTracker) smallestShare() float64 {
	least, sum := math.Inf(1), 0.0
	for a := range g.from {
		served := g.to[a] - g.from[a]
		least = min(least, served)
		sum += served
	}
	return least * float64(len(g.from)) / sum
}
