package backendconn

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// historyAge is how long the end of a connection is remembered. It is twice
	// the largest bucket of the idle times that are reported.
	historyAge = 2 * time.Minute
	// historyAddresses bounds the addresses whose ended connections are
	// remembered.
	historyAddresses = 1024
	// historyEndings bounds the ended connections remembered of one address.
	historyEndings = 64
)

// ending is the end of a connection that no new one has taken the place of.
type ending struct {
	reason    Reason
	at        boottime.Instant
	idleSince boottime.Instant // the end of the last answer; set if the reason follows idle time
	stated    time.Duration
}

// opening describes a connection that is opened now in place of the ended one.
func (e ending) opening(now boottime.Instant) Opening {
	if !e.reason.followsIdle() {
		return Opening{Reason: e.reason}
	}
	return Opening{Reason: e.reason, IdleTime: now.Sub(e.idleSince), StatedTimeout: e.stated}
}

// history remembers how connections ended, the newest last for each address. It
// is not safe for concurrent use.
type history map[fleet.Address][]ending

// add notes the end of a connection. At the bounds the oldest is dropped.
func (h history) add(address fleet.Address, ended ending) {
	known, ok := h[address]
	if !ok && len(h) >= historyAddresses {
		h.dropOldest()
	}
	if len(known) >= historyEndings {
		known = append(known[:0], known[1:]...)
	}
	h[address] = append(known, ended)
}

// take removes and returns the newest ending at the address.
func (h history) take(address fleet.Address, now boottime.Instant) (ending, bool) {
	known := h[address]
	if len(known) == 0 {
		return ending{}, false
	}
	last := len(known) - 1
	newest := known[last]
	if last == 0 || now.Sub(newest.at) > historyAge {
		delete(h, address)
	} else {
		h[address] = known[:last]
	}
	return newest, now.Sub(newest.at) <= historyAge
}

// replace notes that the address has a new backend server. A connection to the
// former one would be of no use, however it ended.
func (h history) replace(address fleet.Address) {
	known := h[address]
	for i := range known {
		known[i].reason = ReasonReplaced
	}
}

// prune drops the addresses at which no connection has ended lately.
func (h history) prune(now boottime.Instant) {
	for address, known := range h {
		if now.Sub(known[len(known)-1].at) > historyAge {
			delete(h, address)
		}
	}
}

// dropOldest drops the address at which no connection has ended for longest.
func (h history) dropOldest() {
	var oldest fleet.Address
	var at boottime.Instant
	for address, known := range h {
		if newest := known[len(known)-1].at; oldest == anyAddress || newest < at {
			oldest, at = address, newest
		}
	}
	delete(h, oldest)
}
