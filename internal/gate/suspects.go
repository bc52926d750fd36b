package gate

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// maxCrashes is how many backend servers a request may break before it is
	// refused. A request that was merely beside one that breaks them rarely
	// meets a second break.
	maxCrashes = 2
	// suspectTTL is how long a break is remembered.
	suspectTTL = 60 * time.Second
	// maxSuspects bounds the table. A crash of a backend server adds all
	// requests that it ran.
	maxSuspects = 4096
)

// fingerprint returns a value that is the same when a caller sends a request
// again.
func fingerprint(request *Request) uint64 {
	digest := xxhash.New()
	if request.Account != nil {
		_, _ = digest.WriteString(string(request.Account.Name)) // never fails
	}
	_, _ = digest.WriteString("\x00" + request.Host + "\x00" + request.Method + "\x00" + request.URI + "\x00")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// suspect is a request during which backend servers broke.
type suspect struct {
	own    int                    // crashes of backend servers seen here
	others map[fleet.Address]bool // routers that have seen a crash
	last   boottime.Instant
}

// suspects remembers which requests were running when a backend server broke.
// Without it a request that crashes each backend server that runs it is sent
// again by its caller until none is left. A broken connection counts once
// breakWatch has found that its server went down.
type suspects struct {
	mu         sync.Mutex
	known      map[uint64]*suspect
	unreported []uint64 // broken here since the last call of takeFresh
}

func newSuspects() *suspects { return &suspects{known: make(map[uint64]*suspect)} }

// crashed notes that a backend server went down while it ran the request.
func (s *suspects) crashed(print uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(print).own++
	s.unreported = append(s.unreported, print)
}

// crashReported notes that it did so at another router. Beats repeat what they tell, so
// each router counts once.
func (s *suspects) crashReported(router fleet.Address, print uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(print).others[router] = true
}

func (s *suspects) add(print uint64) *suspect {
	now := boottime.Now()
	if len(s.known) >= maxSuspects {
		s.prune(now)
	}
	known := s.known[print]
	if known == nil {
		known = &suspect{others: make(map[fleet.Address]bool)}
		s.known[print] = known
	}
	known.last = now
	return known
}

// prune forgets what is old, and everything when that is not enough.
func (s *suspects) prune(now boottime.Instant) {
	for print, known := range s.known {
		if now.Sub(known.last) > suspectTTL {
			delete(s.known, print)
		}
	}
	if len(s.known) >= maxSuspects {
		clear(s.known)
	}
}

// refused tells whether the request has broken too many backend servers.
func (s *suspects) refused(print uint64) bool { return s.count(print) >= maxCrashes }

// count returns how many backend servers the request has broken.
func (s *suspects) count(print uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.known[print]
	if known == nil || boottime.Now().Sub(known.last) > suspectTTL {
		return 0
	}
	return known.own + len(known.others)
}

// takeUnreported returns what broke here since the last call.
func (s *suspects) takeUnreported() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.unreported
	s.unreported = nil
	return fresh
}
