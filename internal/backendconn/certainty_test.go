package backendconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// certaintyTest is a pool with a backend server whose process can be replaced at its address.
type certaintyTest struct {
	t        *testing.T
	pool     *Pool
	address  fleet.Address
	listedAt atomic.Int64 // boottime.Instant, 0 while the list is current
	probes   atomic.Int32
	silent   atomic.Bool // whether probes get no answer
	process  *testProcess
}

// testProcess is one process of a backend server.
type testProcess struct {
	listener net.Listener
	conns    chan net.Conn
}

func newCertaintyTest(t *testing.T) *certaintyTest {
	test := &certaintyTest{t: t, pool: NewPool()}
	test.pool.SetCertainty(Certainty{
		ListedAt: func() boottime.Instant { return boottime.Instant(test.listedAt.Load()) },
		Probe: func(fleet.Address) *Request {
			probe := newRequest("probe")
			probe.Method, probe.Body = http.MethodGet, nil
			return probe
		},
	})
	test.start("127.0.0.1:0")
	return test
}

// start starts a process that answers each request with its id.
func (c *certaintyTest) start(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { listener.Close() })
	process := &testProcess{listener: listener, conns: make(chan net.Conn, 100)}
	c.process, c.address = process, fleet.Address(listener.Addr().String())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			process.conns <- conn
			go c.serve(conn)
		}
	}()
}

func (c *certaintyTest) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for request := readRequest(reader); request != nil; request = readRequest(reader) {
		id := request.Header.Get("Id")
		if id == "probe" {
			c.probes.Add(1)
			if c.silent.Load() {
				continue
			}
		}
		io.WriteString(conn, answer(id, "whole"))
	}
}

// restart replaces the process by another one.
func (c *certaintyTest) restart() {
	c.process.listener.Close()
	close(c.process.conns)
	for conn := range c.process.conns {
		conn.Close()
	}
	c.start(string(c.address))
	time.Sleep(10 * time.Millisecond) // until the ends of the connections have arrived
}

// storeAway makes the list outdated from now on.
func (c *certaintyTest) storeAway() { c.listedAt.Store(int64(boottime.Now())) }

// hold sends requests and returns their answers unread, so that their connections are in use.
func (c *certaintyTest) hold(ids ...string) []*Answer {
	c.t.Helper()
	var answers []*Answer
	for _, id := range ids {
		answers = append(answers, sendAndHold(c.t, c.pool, c.address, id))
	}
	return answers
}

func (c *certaintyTest) finish(answers ...*Answer) {
	c.t.Helper()
	for _, answer := range answers {
		answer.MarkServing()
		drainAndClose(c.t, answer)
	}
}

// goOn sends a request that needs the listed process, and reports whether it was sent.
func (c *certaintyTest) goOn() (*Answer, bool) {
	c.t.Helper()
	request := newRequest("on")
	request.Certain = true
	answer, err := c.pool.Do(c.t.Context(), c.address, request)
	if err != nil && !errors.Is(err, ErrUncertainProcess) {
		c.t.Fatal(err)
	}
	return answer, err == nil
}

// want checks whether a request that needs the listed process is sent, and how many probes that
// took.
func (c *certaintyTest) want(sent bool, probes int32) {
	c.t.Helper()
	before := c.probes.Load()
	answer, got := c.goOn()
	if got {
		c.finish(answer)
	}
	if got != sent || c.pool.Certain(c.address) != sent {
		c.t.Errorf("sent %v, certain %v; want %v", got, c.pool.Certain(c.address), sent)
	}
	if took := c.probes.Load() - before; took != probes {
		c.t.Errorf("%d probes, want %d", took, probes)
	}
}

// Guards against refusing requests although the list is current.
func TestAnyConnectionIsCertainWhileTheListIsCurrent(t *testing.T) {
	newCertaintyTest(t).want(true, 0)
}

// Guards against a router that trusts a process it has no earlier connection to, as after its
// own start.
func TestNewConnectionsAloneAreUncertain(t *testing.T) {
	c := newCertaintyTest(t)
	c.storeAway()
	c.want(false, 0)
	c.finish(c.hold("1", "2")...)
	c.finish(c.hold("3", "4")...)
	c.want(false, 0)
}

// Guards against requests that are refused since all older connections are in use or gone but the
// spare one: one probe shows for all newer ones that the process still serves.
func TestOneProbeShowsForAllConnections(t *testing.T) {
	c := newCertaintyTest(t)
	c.finish(c.hold("1")...)
	c.storeAway()
	c.want(true, 1)
	held := c.hold("2", "3", "4")
	c.want(true, 1)
	c.want(true, 0)
	for _, answer := range held {
		if !answer.Certain() {
			t.Error("an answer on a connection from before the probe is uncertain")
		}
		answer.Close()
	}
	if took := c.probes.Load(); took != 2 {
		t.Errorf("%d probes, want 2", took)
	}
}

// Guards against probes where the usual traffic shows that the process still serves.
func TestTrafficShowsWithoutProbes(t *testing.T) {
	c := newCertaintyTest(t)
	old := c.hold("1", "2")
	c.storeAway()
	newer := c.hold("3")
	c.finish(old...)              // answers to requests from before the newer connection
	c.finish(newer...)            // one on the newer connection itself
	c.finish(c.hold("4", "5")...) // on both
	c.want(true, 0)
}

// Guards against an answer that was sent before a connection was opened, and read afterwards,
// being taken as evidence for it.
func TestLateAnswersShowNothing(t *testing.T) {
	c := newCertaintyTest(t)
	old := c.hold("1")
	c.storeAway()
	c.restart()
	c.finish(c.hold("2")...)
	c.finish(old...)
	c.want(false, 0)
}

// Guards against a request that goes to a process that has started again: its connections show
// nothing, and the older ones are closed.
func TestRestartedProcessIsUncertain(t *testing.T) {
	c := newCertaintyTest(t)
	c.finish(c.hold("1", "2", "3")...)
	c.storeAway()
	c.want(true, 0)
	c.restart()
	for range 3 {
		c.finish(c.hold("4", "5")...)
		c.want(false, 0)
	}
	c.listedAt.Store(0)
	c.want(true, 0)
	c.storeAway() // listed anew
	c.want(true, 0)
}

// Guards against waiting long for a process that does not answer its probe, and against trusting
// it.
func TestUnansweredProbeShowsNothing(t *testing.T) {
	c := newCertaintyTest(t)
	c.finish(c.hold("1")...)
	c.storeAway()
	c.silent.Store(true)
	began := time.Now()
	c.want(false, 1)
	if took := time.Since(began); took > 2*probeTimeout {
		t.Errorf("took %v", took)
	}
}

// Guards against a process that stays uncertain, as all older connections were in use when its answer
// came: once one of them is idle again, a probe shows it. A process that started since stays so.
func TestProcessIsKnownOnceAnOlderConnectionIsIdle(t *testing.T) {
	for name, restarts := range map[string]bool{"goes on": false, "starts again": true} {
		t.Run(name, func(t *testing.T) {
			c := newCertaintyTest(t)
			old := c.hold("1")
			c.storeAway()
			listedAt := boottime.Instant(c.listedAt.Load())
			if restarts {
				c.restart()
			}
			newer := c.hold("2")
			process := newer[0].Process()
			if newer[0].Certain() || c.pool.ServedSince(process, listedAt) {
				t.Error("certain while the older connection was in use")
			}
			newer[0].Close()
			c.finish(old...)
			known := c.pool.ServedSince(process, listedAt) // starts a probe
			for wait := time.Now().Add(2 * probeTimeout); !known && time.Now().Before(wait); time.Sleep(time.Millisecond) {
				known = c.pool.ServedSince(process, listedAt)
			}
			if known == restarts {
				t.Errorf("known: %v", known)
			}
		})
	}
}

// Guards against a spare connection that is withheld where a backend server allows one connection only.
func TestSpareIsUsedAtTheLimitOfConnections(t *testing.T) {
	c := newCertaintyTest(t)
	c.finish(c.hold("1")...)
	c.storeAway()
	if !c.pool.Certain(c.address) {
		t.Fatal("uncertain")
	}
	for _, certain := range []bool{false, true} {
		request := newRequest("2")
		request.MaxConnections, request.Certain = 1, certain
		if _, err := exchange(t, c.pool, c.address, request); err != nil {
			t.Errorf("certain %v: %v", certain, err)
		}
	}
}

// Guards against two processes taken for one: processes serve one after the other, connections are
// opened and answer in any order, and each one must be dated to its own process.
func TestLifetimesKeepProcessesApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processTime = 100 // of each process
		var known lifetimes
		var opened []boottime.Instant
		now := boottime.Instant(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += boottime.Instant(rapid.IntRange(1, 40).Draw(t, "pause"))
			process := now / processTime
			if rapid.Bool().Draw(t, "open") || len(opened) == 0 {
				opened = append(opened, now)
				continue
			}
			if at := rapid.SampledFrom(opened).Draw(t, "answers"); at/processTime == process {
				known = known.add(lifetime{from: at, until: now})
			}
			for _, at := range opened {
				if since := known.servingSince(at); since > at || since/processTime != at/processTime {
					t.Fatalf("a connection opened at %d is dated to %d: %v", at, since, known)
				}
			}
		}
	})
}

// Guards against a silent server that counts as the listed process for as long as the list is overdue.
func TestSilentServerIsNotCertain(t *testing.T) {
	t.Parallel()
	c := newCertaintyTest(t)
	c.finish(c.hold("1")...)
	c.storeAway()
	if !c.pool.Certain(c.address) {
		t.Fatal("not certain with an older connection")
	}
	silence(t, <-c.process.conns, true)
	for range 10 {
		time.Sleep(sweepInterval)
		c.pool.maintainSpares(boottime.Now())
	}
	if c.pool.Certain(c.address) {
		t.Error("still certain after 5 s of silence")
	}
}

// Guards against probes that take all connections to the listed process in a short pause of it.
func TestProbesLeaveConnectionsInAPause(t *testing.T) {
	t.Parallel()
	c := newCertaintyTest(t)
	older := c.hold("1", "2", "3", "4")
	c.finish(older...)
	c.storeAway()
	held := c.hold("5", "6", "7", "8")
	process := c.hold("9")[0].Process()
	c.finish(held...)
	c.silent.Store(true)
	for range 15 {
		c.pool.ServedSince(process, boottime.Instant(c.listedAt.Load()))
		time.Sleep(100 * time.Millisecond)
	}
	c.silent.Store(false)
	time.Sleep(probeTimeout + 100*time.Millisecond)
	if !c.pool.Certain(c.address) {
		t.Errorf("no certain connection is left after a pause of 1.5 s with %d probes", c.probes.Load())
	}
}
