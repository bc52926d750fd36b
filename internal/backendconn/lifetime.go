package backendconn

import (
	"slices"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// maxLifetimes bounds the lifetimes remembered per address.
const maxLifetimes = 8

// lifetime is a span of time throughout which one process served at an address.
type lifetime struct{ from, until boottime.Instant }

// lifetimes is what is known of the processes that served at one address: spans that do not
// overlap, the one that was extended last at the end. Only one process accepts connections at an
// address at a time, so spans that overlap belong to the same process.
type lifetimes []lifetime

// add records that one process served throughout the span.
func (l lifetimes) add(served lifetime) lifetimes {
	others := l[:0]
	for _, known := range l {
		if known.until < served.from || served.until < known.from {
			others = append(others, known)
			continue
		}
		served.from = min(served.from, known.from)
		served.until = max(served.until, known.until)
	}
	if len(others) == maxLifetimes {
		others = slices.Delete(others, 0, 1)
	}
	return append(others, served)
}

// servingSince returns since when the process is known to have served to which a connection was
// opened at the time.
func (l lifetimes) servingSince(opened boottime.Instant) boottime.Instant {
	for _, known := range l {
		if known.from <= opened && opened <= known.until {
			return known.from
		}
	}
	return opened
}
