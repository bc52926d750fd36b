package main

import (
	"net"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// anyPort lets the kernel choose a port of loopback.
const anyPort = "127.0.0.1:0"

// addresses hands out loopback addresses and remembers them. The kernel may
// name the same free port twice in a row, since nobody listens on it in between;
// a node whose two ports are the same does not start.
type addresses struct {
	taken map[fleet.Address]bool
}

// newAddresses returns the book of a fleet that uses the given addresses.
func newAddresses(used ...fleet.Address) *addresses {
	return &addresses{taken: lo.SliceToMap(used, func(a fleet.Address) (fleet.Address, bool) { return a, true })}
}

// next returns an address that it has not returned before.
func (a *addresses) next() (fleet.Address, error) {
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

// freeAddress returns a loopback address that nobody listens on. Another
// process may take it before it is used; then the start fails with an error
// that names it.
func freeAddress() (fleet.Address, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "free port")
	}
	defer listener.Close()
	return fleet.Address(listener.Addr().String()), nil
}
