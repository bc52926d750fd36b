package main

import (
	"net"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// anyPort is a loopback address whose port the kernel chooses.
const anyPort = "127.0.0.1:0"

// addressAllocator returns loopback addresses that differ from each other. The
// kernel may assign the same free port twice in a row, since nobody listens on it
// in between, and a node whose two ports are the same does not start.
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

// freeAddress returns a loopback address that nobody listens on. If another
// process takes it before it is used, the start fails with an error that names
// it.
func freeAddress() (fleet.Address, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "free port")
	}
	defer listener.Close()
	return fleet.Address(listener.Addr().String()), nil
}
