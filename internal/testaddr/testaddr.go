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

// Free returns an unused address.
//
// Each is on a loopback IP address of its own: a port that was found free on 127.0.0.1 may
// be taken by another test, or by any outgoing connection, before the server listens. The
// IP address depends on the process id, as several test processes run at a time.
func Free(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&0x7f, pid&0xff, 1+hosts.Add(1)%250)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
