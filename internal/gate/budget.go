package gate

import (
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// RetryBudgetSettings bound the retries of all routers together.
type RetryBudgetSettings struct {
	Ratio  float64       // retries per request
	Extra  float64       // retries beyond that in one window
	Window time.Duration // sliding
}

// usedBudgetShare is the fraction of the fleet's budget that the routers use. The rest
// covers requests that are counted in another window than the retries that they allow, and
// routers that do not know of each other yet.
const usedBudgetShare = 0.6

// bucket is a token bucket of the retries that may still be made to one service.
type bucket struct {
	tokens float64
	at     boottime.Instant
}

// retryBudget bounds the retries of this router. Without it, a failing service gets several
// times its usual requests.
type retryBudget struct {
	settings *currentSettings
	peers    Peers
	mu       sync.Mutex
	services map[fleet.Service]*bucket
}

func newRetryBudget(settings *currentSettings, peers Peers) *retryBudget {
	return &retryBudget{settings: settings, peers: peers, services: make(map[fleet.Service]*bucket)}
}

// limit returns the size of the bucket: this router's share of the fleet's extra retries.
func (b *retryBudget) limit() float64 {
	return b.settings.get().Budget.Extra * usedBudgetShare / float64(max(b.peers.Routers(), 1))
}

// bucket returns the service's bucket, refilled up to now.
func (b *retryBudget) bucket(service fleet.Service) *bucket {
	entry := b.services[service]
	now := boottime.Now()
	if entry == nil {
		// Half full, since this process may have spent some before a restart.
		entry = &bucket{tokens: b.limit() / 2, at: now}
		b.services[service] = entry
	}
	// The part that does not depend on requests refills over one window.
	elapsed := now.Sub(entry.at).Seconds()
	entry.tokens = min(entry.tokens+elapsed*b.limit()/2/b.settings.get().Budget.Window.Seconds(), b.limit())
	entry.at = now
	return entry
}

// credit adds the retries that a request to the service allows.
func (b *retryBudget) credit(service fleet.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.bucket(service)
	entry.tokens = min(entry.tokens+b.settings.get().Budget.Ratio*usedBudgetShare, b.limit())
}

// spend takes one retry from the budget and reports whether it may be made.
func (b *retryBudget) spend(service fleet.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.bucket(service)
	if entry.tokens < 1 {
		return false
	}
	entry.tokens--
	return true
}
