// Package testaddr gives tests addresses for servers that open their listeners themselves.
package testaddr

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// hosts counts the IP addresses that were assigned.
var hosts atomic.Uint32

// The ports are below those that the kernel gives to outgoing connections and to listeners
// without a port: any of these, on whichever IP address, could take one before the server listens.
const (
	firstPort = 10_000
	ports     = 20_000
	// maxTries is the number of ports that are tried for an address.
	maxTries = 20
)

// Free returns an unused address.
//
// Each is on a loopback IP address of its own: a port that was found free on 127.0.0.1 may
// be taken by another test before the server listens. The IP address depends on the process
// id, as several test processes run at a time.
func Free(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	var err error
	for range maxTries {
		number := hosts.Add(1)
		host := fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&0x7f, pid&0xff, 1+number%250)
		address := net.JoinHostPort(host, fmt.Sprint(firstPort+(number*251)%ports))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal(err)
	return ""
}
