package fairshare

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

var everything = func(fleet.Account) bool { return true }

func benchNames(count int) []fleet.Account {
	names := make([]fleet.Account, count)
	for i := range names {
		names[i] = fleet.Account(fmt.Sprintf("organisation/team-%d/account-%d", i%8, i))
	}
	return names
}

// heldBytes is the heap that what build returns keeps in use.
func heldBytes[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func benchClocks(names []fleet.Account) *Clocks {
	clocks := NewClocks(Config{Share: settings.ShareFleet, ReportInterval: time.Second})
	for i, name := range names {
		clocks.Offered(name, i%10 == 0)
		clocks.Begin(request(i), name, Hint{Output: 100})
		clocks.Settle(request(i), 100)
	}
	return clocks
}

// BenchmarkClocks gives the time of one request and of one report, with a
// tenth of the accounts waiting.
func BenchmarkClocks(b *testing.B) {
	for _, accounts := range []int{16, 170, 1700} {
		names := benchNames(accounts)
		held := heldBytes(func() *Clocks { return benchClocks(names) })
		clocks := benchClocks(names)
		waiting := names[:max(1, accounts/10)]
		b.Run(fmt.Sprintf("request/accounts=%d", accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				name, _ := clocks.Pick(waiting)
				clocks.Begin(request(1), name, Hint{Output: 100})
				clocks.Charge(request(1), 50)
				clocks.Settle(request(1), 100)
			}
			b.ReportMetric(held/float64(accounts), "bytes/account")
		})
		b.Run(fmt.Sprintf("report/accounts=%d", accounts), func(b *testing.B) {
			for b.Loop() {
				clocks.Charges("10.0.0.1:1", everything)
			}
		})
	}
}

func benchReport(agent int, sequence uint64, names []fleet.Account) Report {
	report := Report{Agent: fleet.Address(fmt.Sprintf("10.0.%d.%d:1", agent/250, agent%250)), Incarnation: 1, Sequence: sequence}
	for _, name := range names {
		report.Charges = append(report.Charges, Charge{Account: name, Total: Units(sequence), InFlight: 10, Waiting: true})
	}
	return report
}

// BenchmarkHome gives the time of one report with a tenth of the accounts, and
// the memory of a home to which each agent has reported all accounts.
func BenchmarkHome(b *testing.B) {
	for _, accounts := range []int{16, 170, 1700} {
		for _, agents := range []int{20, 100, 630} {
			names := benchNames(accounts)
			fill := func() *Home {
				home := NewHome(Config{Share: settings.ShareFleet, Window: 5000, ReportInterval: time.Second},
					func(fleet.Account) float64 { return 1 })
				for agent := range agents {
					home.Take(modelStart, benchReport(agent, 1, names))
				}
				return home
			}
			b.Run(fmt.Sprintf("accounts=%d/agents=%d", accounts, agents), func(b *testing.B) {
				held := heldBytes(fill)
				home := fill()
				reports := make([]Report, agents)
				for agent := range reports {
					reports[agent] = benchReport(agent, 2, names[:max(1, accounts/10)])
				}
				n := 0
				for b.Loop() {
					report := reports[n%agents]
					report.Sequence = uint64(n + 2)
					home.Take(modelStart.Add(time.Duration(n)*time.Second/time.Duration(agents)), report)
					n++
				}
				b.ReportMetric(held/float64(accounts*agents), "bytes/account-agent")
				b.ReportMetric(held, "bytes")
			})
		}
	}
}
