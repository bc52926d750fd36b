package agent

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// heap is the memory in use after a collection.
func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// reportHeld reports the memory that each of the benchmark's rows holds.
func reportHeld(b *testing.B, before uint64, keep any) {
	b.StopTimer()
	b.ReportMetric(float64(int64(heap())-int64(before))/float64(b.N), "held-B/op")
	runtime.KeepAlive(keep)
}

// BenchmarkHeldAnswer holds one answer of 4 KB for each operation.
func BenchmarkHeldAnswer(b *testing.B) {
	h := newHarness(testPolicy(settings.KindModel))
	h.limits.MaxHeldAnswers = b.N + 1
	h.restart()
	h.advance(2*MaxClockSkew + time.Millisecond)
	store := newAnswers()
	body := make([]byte, 4096)
	b.ReportAllocs()
	before := heap()
	for b.Loop() {
		in := h.dispatch(h.id(), routerA)
		h.send(in)
		a := store.open(in.ID)
		a.write(body)
		a.close(Seal{})
		h.end(in.ID, RunComplete)
	}
	reportHeld(b, before, []any{h, store})
}

// BenchmarkEndedRequest remembers one ended request for each operation.
func BenchmarkEndedRequest(b *testing.B) {
	h := newHarness(testPolicy(settings.KindModel))
	table := newEndedTable(b.N+1, time.Hour, h.now)
	b.ReportAllocs()
	before := heap()
	for b.Loop() {
		table.put(h.now, h.id(), fateRan)
	}
	reportHeld(b, before, table)
}

// offers are the offers of accounts spread over routers.
func offers(h *harness, routers, accounts, perAccount int) []Input {
	messages := make([]Offered, routers)
	for i := range messages {
		messages[i] = h.offer(fleet.Address(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)), 1, 0)
		messages[i].Offers = nil
	}
	for account := range accounts {
		for copies := range perAccount {
			m := &messages[(account*7+copies*13)%routers]
			m.Offers = append(m.Offers, AccountOffer{
				Account:        fleet.Account(fmt.Sprintf("org/team/account-%d", account)),
				Count:          4,
				OldestDeadline: h.now.Add(time.Duration(account) * time.Second),
				EstimatedCost:  500,
			})
		}
	}
	inputs := make([]Input, len(messages))
	for i, m := range messages {
		inputs[i] = m
	}
	return inputs
}

// BenchmarkOffer takes in offers of 1,700 accounts, 4 routers each; one
// operation is one offer.
func BenchmarkOffer(b *testing.B) {
	h := newHarness(testPolicy(settings.KindModel))
	fillSlots(h)
	const accounts, perAccount = 1700, 4
	inputs := offers(h, 350, accounts, perAccount)
	b.ReportAllocs()
	before := heap()
	for b.Loop() {
		for i, input := range inputs {
			next := input.(Offered)
			next.Sequence++
			inputs[i] = next
		}
		h.step(inputs...)
	}
	b.StopTimer()
	b.ReportMetric(float64(int64(heap())-int64(before))/(accounts*perAccount), "held-B/offer")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(accounts*perAccount), "ns/offer")
	runtime.KeepAlive(h)
}

func fillSlots(h *harness) {
	h.advance(2*MaxClockSkew + time.Millisecond)
	for range h.policy.Slots {
		h.send(h.dispatch(h.id(), routerB))
	}
}

// BenchmarkTick frees a slot and grants it, with offers of 1,700 accounts from
// 350 routers; a tenth of the accounts, or all of them, wait.
func BenchmarkTick(b *testing.B) {
	for _, accounts := range []int{170, 1700} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			h := newHarness(testPolicy(settings.KindModel))
			fillSlots(h)
			h.step(offers(h, 350, accounts, 4)...)
			b.ReportAllocs()
			for b.Loop() {
				for id := range h.running {
					h.end(id, RunComplete)
					useGrants(h)
					h.step(Acknowledge{IDs: []fleet.RequestID{id}})
					break
				}
			}
			if h.world.running == 0 {
				b.Fatal("no slot is granted")
			}
		})
	}
}

// useGrants sends a request on each grant of the last step.
func useGrants(h *harness) {
	for _, command := range h.commands {
		if sent, ok := command.(SendGrants); ok {
			in := h.dispatch(h.id(), sent.Router)
			in.Account = fleet.Account(sent.Grants[0].Account)
			in.Grant = sent.Grants[0].Number
			in.Waiting = 4
			h.send(in)
		}
	}
}
