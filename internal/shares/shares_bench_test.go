package shares

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// benchLedger returns the ledger of a router that hears from others, each of which reports some of the
// accounts.
func benchLedger(routers, accounts, reported int, now boottime.Instant) (*Ledger, []fleet.Account) {
	ledger, names := NewLedger(), make([]fleet.Account, accounts)
	for i := range names {
		names[i] = fleet.Account(fmt.Sprint("account", i))
		ledger.AddRequested(names[i], 5000, now)
		ledger.AddGranted(names[i], 3000, now)
	}
	for router := range routers - 1 {
		usages := make(map[fleet.Account]Usage, reported)
		for i := range reported {
			usages[names[(router*7+i)%accounts]] = Usage{Requested: 5000, Granted: 3000}
		}
		ledger.SetOther(fmt.Sprint(router), usages, now)
	}
	return ledger, names
}

// BenchmarkComputeShares measures a computation of the shares with reports of several ages.
func BenchmarkComputeShares(b *testing.B) {
	for _, size := range []struct{ routers, accounts, reported int }{{24, 16, 16}, {350, 1700, 40}, {89, 1700, 1700}} {
		for _, age := range []time.Duration{100 * time.Millisecond, time.Second} {
			b.Run(fmt.Sprintf("%d-%d-%d/%v", size.routers, size.accounts, size.reported, age), func(b *testing.B) {
				now := start.Add(age)
				ledger, names := benchLedger(size.routers, size.accounts, size.reported, start)
				for _, name := range names {
					ledger.AddGranted(name, 3000, now)
				}
				for b.Loop() {
					ledger.othersTotalAt = 0 // no sum is recent
					ledger.computeShares(1e6, now)
				}
			})
		}
	}
}

// BenchmarkBurst measures a request in a burst at one router of ten times the fleet's capacity, of which
// the computations of the shares are a part.
func BenchmarkBurst(b *testing.B) {
	for _, size := range []struct{ routers, accounts, reported int }{{24, 16, 16}, {350, 1700, 40}, {89, 1700, 1700}} {
		b.Run(fmt.Sprintf("%d-%d-%d", size.routers, size.accounts, size.reported), func(b *testing.B) {
			const capacity, tokens = 1e6, 4000.0
			ledger, names := benchLedger(size.routers, size.accounts, size.reported, start)
			now, i := start, 0
			for b.Loop() {
				i++
				now = now.Add(400 * time.Microsecond)
				account := names[i%len(names)]
				ledger.AddRequested(account, tokens, now)
				if ledger.ShareUsed(account, tokens, capacity, now) <= 1 {
					ledger.AddGranted(account, tokens, now)
				}
			}
		})
	}
}
