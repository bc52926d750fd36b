package main

import (
	"net"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// anyPort lets the kernel choose a port of loopback.
const anyPort = "127.0.0.1:0"

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
