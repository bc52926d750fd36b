package gate

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// maxCrashes is how many backend servers a request may crash before it is refused. A
	// request that was merely running beside one that crashes them rarely meets a second
	// crash.
	maxCrashes = 2
	// suspectTTL is how long a crash is remembered.
	suspectTTL = 60 * time.Second
	// maxSuspects bounds the table. A crash of a backend server adds all requests that it
	// was running.
	maxSuspects = 4096
)

// fingerprint returns a hash that is the same when a caller retries a request.
func fingerprint(request *Request) uint64 {
	digest := xxhash.New()
	if request.Account != nil {
		_, _ = digest.WriteString(string(request.Account.Name)) // never fails
	}
	_, _ = digest.WriteString("\x00" + request.Host + "\x00" + request.Method + "\x00" + request.URI + "\x00")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// suspect is a request that was running when backend servers crashed.
type suspect struct {
	own    int                    // crashes seen by this router
	others map[fleet.Address]bool // other routers that have seen a crash
	last   boottime.Instant
}

// suspects remembers which requests were running when a backend server crashed. Without it,
// a request that crashes each backend server that runs it would be retried by its caller
// until none is left. A reset connection counts once crashDetector has found that its
// server went down.
type suspects struct {
	mu         sync.Mutex
	known      map[uint64]*suspect
	unreported []uint64 // crashes seen here since the last call of takeUnreported
}

func newSuspects() *suspects { return &suspects{known: make(map[uint64]*suspect)} }

// crashed records that a backend server went down while it was running the request.
func (s *suspects) crashed(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(fingerprint).own++
	s.unreported = append(s.unreported, fingerprint)
}

// crashReported records that another router has seen a crash by the request. Heartbeats
// repeat their content, so each router counts once.
func (s *suspects) crashReported(router fleet.Address, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(fingerprint).others[router] = true
}

// add returns the entry of a request that was running during a crash, and creates it if
// needed.
func (s *suspects) add(fingerprint uint64) *suspect {
	now := boottime.Now()
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

// prune removes expired entries, and all entries if that is not enough.
func (s *suspects) prune(now boottime.Instant) {
	for fingerprint, known := range s.known {
		if now.Sub(known.last) > suspectTTL {
			delete(s.known, fingerprint)
		}
	}
	if len(s.known) >= maxSuspects {
		clear(s.known)
	}
}

// refused reports whether the request has crashed too many backend servers.
func (s *suspects) refused(fingerprint uint64) bool { return s.count(fingerprint) >= maxCrashes }

// count returns how many backend servers the request has crashed.
func (s *suspects) count(fingerprint uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.known[fingerprint]
	if known == nil || boottime.Now().Sub(known.last) > suspectTTL {
		return 0
	}
	return known.own + len(known.others)
}

// takeUnreported returns the requests whose crashes were seen here since the last call.
func (s *suspects) takeUnreported() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	unreported := s.unreported
	s.unreported = nil
	return unreported
}
