package peering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// busyLocal is a router with some requests at drawn engines, of drawn accounts.
type busyLocal struct {
	Local
	loads map[uint32]gate.BackendLoad
	uses  map[fleet.Account]shares.Usage
	paces func() map[uint32]pace.Observation // nil if no paces are known
}

func newBusyLocal(requests, engines, accounts int) *busyLocal {
	local := &busyLocal{loads: make(map[uint32]gate.BackendLoad), uses: make(map[fleet.Account]shares.Usage)}
	for range requests {
		local.loads[uint32(rand.IntN(engines))*2654435761] = gate.BackendLoad{Running: 1, Pending: 4000, Memory: 9000}
		local.uses[fleet.Account(fmt.Sprint("account-", rand.IntN(accounts)))] = shares.Usage{Requested: 12_000, Granted: 12_000}
	}
	return local
}

func (l *busyLocal) Loads() map[uint32]gate.BackendLoad                      { return l.loads }
func (l *busyLocal) Usages() map[fleet.Account]shares.Usage                  { return l.uses }
func (l *busyLocal) TakeCrashFingerprints() []uint64                         { return nil }
func (l *busyLocal) ReceiveCrashFingerprint(fleet.Address, uint64)           {}
func (l *busyLocal) SetUsages(fleet.Address, map[fleet.Account]shares.Usage) {}
func (l *busyLocal) RemoveUsages(fleet.Address)                              {}

func (l *busyLocal) Paces() map[uint32]pace.Observation {
	if l.paces == nil {
		return nil
	}
	return l.paces()
}

// BenchmarkControlSecond is what one router spends in a second on telling the others and
// on hearing them, with its bytes in that second: one in the middle, and the one that sums
// its zone.
func BenchmarkControlSecond(b *testing.B) {
	const zones, perSecond = 5, int(time.Second / beatInterval)
	for _, routers := range []int{100, 356, 712} {
		f := newFabric(b, zones, routers/zones)
		for address := range f.routers {
			f.routers[address].SetLocal(newBusyLocal(10, 640, 333))
		}
		f.play(perSecond)
		for _, role := range []string{"middle", "summing"} {
			var watched *Manager
			for _, address := range f.addresses() {
				if f.routers[address].summing(f.now) == (role == "summing") {
					watched = f.routers[address]
				}
			}
			heard := f.record(watched, perSecond)
			b.Run(fmt.Sprintf("%s of %d", role, routers), func(b *testing.B) { controlSecond(b, f, watched, heard, perSecond) })
		}
	}
}

// record plays rounds and returns the beats that arrive at the router.
func (f *fabric) record(router *Manager, rounds int) [][]byte {
	var heard [][]byte
	f.arrived = func(data []byte, to *Manager) {
		if to == router {
			heard = append(heard, data)
		}
	}
	f.play(rounds)
	f.arrived = nil
	return heard
}

// BenchmarkFleetSecondWithPaces is what a router sends in a second, on average over 24
// routers with 43 engines whose paces are not known, known, or known with a tenth of the
// engines in a slow phase.
func BenchmarkFleetSecondWithPaces(b *testing.B) {
	const zones, perZone, engines, perSecond = 3, 8, 43, int(time.Second / beatInterval)
	for _, told := range []string{"no paces", "paces", "paces and slowed"} {
		b.Run(told, func(b *testing.B) {
			f := newFabric(b, zones, perZone)
			for address := range f.routers {
				local := newBusyLocal(10, engines, 30)
				if told != "no paces" {
					local.paces = func() map[uint32]pace.Observation {
						return enginePaces(engines, told == "paces and slowed", f.now)
					}
				}
				f.routers[address].SetLocal(local)
			}
			f.play(settled)
			f.bytes = 0
			all := 0
			f.arrived = func(data []byte, _ *Manager) { all += len(data) }
			seconds := 0
			for b.Loop() {
				f.play(perSecond)
				seconds++
			}
			perRouter := 1000 * float64(seconds*len(f.routers))
			b.ReportMetric(float64(all-f.bytes)/perRouter, "KB-own-zone")
			b.ReportMetric(float64(f.bytes)/perRouter, "KB-other-zones")
		})
	}
}

// BenchmarkMergePaces is what a router spends on one snapshot of what all others
// reported, ten times a second.
func BenchmarkMergePaces(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{24, 43}, {72, 640}} {
		b.Run(fmt.Sprintf("%d routers, %d engines", size.routers, size.engines), func(b *testing.B) {
			now := boottime.Now()
			table := newTable(self, "")
			for i := range size.routers {
				beat := beatOf(fmt.Sprint("router ", i), 1, 1)
				beat.Paces, beat.Slowed = ownPaces(enginePaces(size.engines, false, now), now).carry(true, now)
				table.take(beat, now)
			}
			for b.Loop() {
				table.Paces(now)
			}
		})
	}
}

func controlSecond(b *testing.B, f *fabric, router *Manager, heard [][]byte, rounds int) {
	sent := &countingLink{}
	router.network = sent
	round := f.round
	for b.Loop() {
		for range rounds {
			round++
			f.now = f.now.Add(beatInterval)
			router.expire(f.now)
			router.refreshOthers(f.now)
			router.sendRound(round, f.now)
		}
		for _, data := range heard {
			var beat peeringpb.Beat
			if err := proto.Unmarshal(data, &beat); err != nil {
				b.Fatal(err)
			}
			beat.Clock = int64(f.now)
			router.takeBeat(b.Context(), &beat, f.now)
		}
	}
	taken := 0
	for _, data := range heard {
		taken += len(data)
	}
	b.ReportMetric(float64(sent.bytes)/float64(b.N)/1000, "KB-sent")
	b.ReportMetric(float64(taken)/1000, "KB-heard")
	b.ReportMetric(float64(len(heard)), "beats-heard")
	router.network = &link{fabric: f, from: router}
}

// countingLink counts the bytes that a router sends to nobody.
type countingLink struct {
	Network
	bytes int
}

func (l *countingLink) Send(beat []byte, _ fleet.Address) { l.bytes += len(beat) }
