package gate

import (
	"sync"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// smallBodyBytes is the size up to which a body may use all of the memory for bodies. Larger
	// ones leave the rest of largeBodyShare to small ones.
	smallBodyBytes = 64 << 10
	largeBodyShare = 0.9
	// largeAccountShare and smallAccountShare are the shares of the memory for bodies up to which
	// one account alone is given more of it, for a large body and a small one. So there is some left
	// when another account asks.
	largeAccountShare = 0.75
	smallAccountShare = 0.9375
)

// bodyMemory is the memory that request bodies share. What an account may hold shrinks with what is
// free: it gets more while its part is at most a fixed multiple of the free memory. So an account
// that asks alone can use most of the memory, and several that do have equal parts. One that holds
// nothing is not kept out by one or two others; a large body of it may be by more. Its methods may be
// called concurrently.
type bodyMemory struct {
	mu       sync.Mutex
	reserved int64
	accounts map[fleet.Account]int64 // parts of the accounts that hold any
}

// bodyHold is the memory that the body of one request has reserved. It is used by one goroutine.
type bodyHold struct {
	memory  *bodyMemory
	account fleet.Account // "" for requests without one
	part    int64
}

func (m *bodyMemory) hold(request *Request) bodyHold {
	hold := bodyHold{memory: m}
	if request.Account != nil {
		hold.account = request.Account.Name
	}
	return hold
}

// grow reserves memory so that the body may hold size bytes, of total bytes for all bodies. It
// returns false, and reserves nothing, if there is not enough for the account.
func (h *bodyHold) grow(size, total int64) bool {
	missing := size - h.part
	if missing <= 0 {
		return true
	}
	limit, share := float64(total), smallAccountShare
	if size > smallBodyBytes {
		limit, share = limit*largeBodyShare, largeAccountShare
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	reserved, part := m.reserved+missing, m.accounts[h.account]+missing
	free := float64(total - reserved)
	if float64(reserved) > limit || float64(part)*(1-share) > free*share {
		return false
	}
	if m.accounts == nil {
		m.accounts = make(map[fleet.Account]int64)
	}
	m.reserved, m.accounts[h.account] = reserved, part
	h.part = size
	return true
}

// release returns what the body has reserved.
func (h *bodyHold) release() {
	if h.part == 0 {
		return
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved -= h.part
	m.accounts[h.account] -= h.part
	if m.accounts[h.account] == 0 {
		delete(m.accounts, h.account)
	}
	h.part = 0
}
