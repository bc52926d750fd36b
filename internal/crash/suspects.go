package crash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// MaxCrashes is how many backend servers a request may crash before it is refused. A
	// request that was merely running beside one that crashes them rarely meets a second
	// crash.
	MaxCrashes = 2
	// MaxStreamCrashes is the same for a stream that has brought events. It is sent again with the
	// crashes that it has met, as often as servers crash one after the other, while a request that
	// crashes them seldom brings any.
	MaxStreamCrashes = 3
	// suspectTTL is how long a crash is remembered.
	suspectTTL = 60 * time.Second
	// maxSuspects bounds the table. A crash of a backend server adds all requests that it
	// was running.
	maxSuspects = 4096
)

// suspect is a request that was running when backend servers crashed.
type suspect struct {
	own    int                    // crashes seen by this router
	others map[fleet.Address]bool // other routers that have seen a crash
	last   boottime.Instant
}

// Suspects remembers which requests were running when a backend server crashed. Without it,
// a request that crashes each backend server that runs it would be retried by its caller
// until none is left. A reset connection counts once Detector has found that its
// server went down.
type Suspects struct {
	mu         sync.Mutex
	known      map[uint64]*suspect
	unreported []uint64 // crashes seen here since the last call of TakeUnreported
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects { return &Suspects{known: make(map[uint64]*suspect)} }

// Crashed records that a backend server went down while it was running the request.
func (s *Suspects) Crashed(fingerprint uint64, now boottime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(fingerprint, now).own++
	s.unreported = append(s.unreported, fingerprint)
}

// CrashReported records that another router has seen a crash by the request. Heartbeats
// repeat their content, so each router counts once.
func (s *Suspects) CrashReported(router fleet.Address, fingerprint uint64, now boottime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(fingerprint, now).others[router] = true
}

// add returns the entry of a request that was running during a crash, and creates it if
// needed.
func (s *Suspects) add(fingerprint uint64, now boottime.Instant) *suspect {
	if len(s.known) >= maxSuspects {
		s.prune(now)
	}
	known := s.known[fingerprint]
	if known == nil {
		known = &suspect{others: make(map[fleet.Address]bool)}
		s.known[fingerprint] = known
	}
	known.last = now
	return known
}

// prune removes expired entries, and if that is not enough the oldest quarter, those that are
// refused last.
func (s *Suspects) prune(now boottime.Instant) {
	for fingerprint, known := range s.known {
		if now.Sub(known.last) > suspectTTL {
			delete(s.known, fingerprint)
		}
	}
	if len(s.known) < maxSuspects {
		return
	}
	fingerprints := lo.Keys(s.known)
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		x, y := s.known[a], s.known[b]
		return cmp.Or(cmp.Compare(min(x.crashes(), MaxCrashes), min(y.crashes(), MaxCrashes)), cmp.Compare(x.last, y.last))
	})
	for _, fingerprint := range fingerprints[:len(fingerprints)/4] {
		delete(s.known, fingerprint)
	}
}

// crashes returns how many backend servers the request has crashed.
func (s *suspect) crashes() int { return s.own + len(s.others) }

// Refused reports whether the request has crashed too many backend servers.
func (s *Suspects) Refused(fingerprint uint64, now boottime.Instant) bool {
	return s.Count(fingerprint, now) >= MaxCrashes
}

// Count returns how many backend servers the request has crashed.
func (s *Suspects) Count(fingerprint uint64, now boottime.Instant) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.known[fingerprint]
	if known == nil || now.Sub(known.last) > suspectTTL {
		return 0
	}
	return known.crashes()
}

// TakeUnreported returns the requests whose crashes were seen here since the last call.
func (s *Suspects) TakeUnreported() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	unreported := s.unreported
	s.unreported = nil
	return unreported
}
