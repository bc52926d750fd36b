package backendconn

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// historyTTL is how long the end of a connection is remembered: twice the largest
	// bucket of the idle times that are reported.
	historyTTL = 2 * time.Minute
	// maxHistoryAddresses bounds the addresses whose closed connections are remembered.
	maxHistoryAddresses = 1024
	// maxHistoryEndings bounds the closed connections remembered per address.
	maxHistoryEndings = 64
)

// ending is the end of a connection that has not been replaced by a new one yet.
type ending struct {
	reason        Reason
	at            boottime.Instant
	idleSince     boottime.Instant // when the last answer ended; set if reason.followsIdle()
	statedTimeout time.Duration
}

// opening describes a connection that replaces the closed one at the time now.
func (e ending) opening(now boottime.Instant) Opening {
	if !e.reason.followsIdle() {
		return Opening{Reason: e.reason}
	}
	return Opening{Reason: e.reason, IdleTime: now.Sub(e.idleSince), StatedTimeout: e.statedTimeout}
}

// history holds how connections ended, by address, in order of time. It is not safe for
// concurrent use.
type history map[fleet.Address][]ending

// add records the end of a connection. At the bounds the oldest record is dropped.
func (h history) add(address fleet.Address, end ending) {
	known, ok := h[address]
	if !ok && len(h) >= maxHistoryAddresses {
		h.dropOldest()
	}
	if len(known) >= maxHistoryEndings {
		known = append(known[:0], known[1:]...)
	}
	h[address] = append(known, end)
}

// take removes and returns the newest ending at the address.
func (h history) take(address fleet.Address, now boottime.Instant) (ending, bool) {
	known := h[address]
	if len(known) == 0 {
		return ending{}, false
	}
	last := len(known) - 1
	newest := known[last]
	if last == 0 || now.Sub(newest.at) > historyTTL {
		delete(h, address)
	} else {
		h[address] = known[:last]
	}
	return newest, now.Sub(newest.at) <= historyTTL
}

// markReplaced records that the address has a new backend server. A connection to the
// previous one would be useless, however it ended.
func (h history) markReplaced(address fleet.Address) {
	known := h[address]
	for i := range known {
		known[i].reason = ReasonReplaced
	}
}

// prune drops the addresses at which no connection has ended within historyTTL.
func (h history) prune(now boottime.Instant) {
	for address, known := range h {
		if now.Sub(known[len(known)-1].at) > historyTTL {
			delete(h, address)
		}
	}
}

// dropOldest drops the address whose last ending is the oldest.
func (h history) dropOldest() {
	var oldest fleet.Address
	var oldestAt boottime.Instant
	for address, known := range h {
		if newest := known[len(known)-1].at; oldest == anyAddress || newest < oldestAt {
			oldest, oldestAt = address, newest
		}
	}
	delete(h, oldest)
}
