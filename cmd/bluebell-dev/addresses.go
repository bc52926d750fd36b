package main

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// anyPort is a loopback address whose port the kernel chooses.
const anyPort = "127.0.0.1:0"

// addressAllocator returns loopback addresses that differ from each other: a node
// whose two ports are the same does not start.
type addressAllocator struct {
	taken map[fleet.Address]bool
}

// newAddressAllocator returns an allocator that never returns the given addresses.
func newAddressAllocator(used ...fleet.Address) *addressAllocator {
	return &addressAllocator{taken: lo.SliceToMap(used, func(a fleet.Address) (fleet.Address, bool) { return a, true })}
}

// next returns a free address that it has not returned before.
func (a *addressAllocator) next() (fleet.Address, error) {
	for {
		address, err := freeAddress()
		if err != nil {
			return "", err
		}
		if !a.taken[address] {
			a.taken[address] = true
			return address, nil
		}
	}
}

// The ports of free addresses are below those that the kernel gives to outgoing connections, any
// of which could take one before it is used.
const (
	firstFreePort = 10_000
	freePorts     = 20_000
	maxPortTries  = 100
)

// freeAddress returns a loopback address that nobody listens on. If another
// process takes it before it is used, the start fails with an error that names
// it.
func freeAddress() (fleet.Address, error) {
	var err error
	for range maxPortTries {
		var listener net.Listener
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstFreePort+rand.IntN(freePorts)))
		if listener, err = net.Listen("tcp", address); err == nil {
			_ = listener.Close() // nobody has connected
			return fleet.Address(address), nil
		}
	}
	return "", errors.Wrap(err, "free port")
}
