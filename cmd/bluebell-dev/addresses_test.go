package main

import (
	"net"
	"net/netip"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Guards against a start that fails with "address already in use": an outgoing connection of any
// process has taken the port since it was found free.
func TestAddressesAreNotThoseOfOutgoingConnections(t *testing.T) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	kernels := listener.Addr().(*net.TCPAddr).Port
	for range 100 {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if port := netip.MustParseAddrPort(string(address)).Port(); int(port) >= firstFreePort+freePorts || kernels < firstFreePort+freePorts {
			t.Fatalf("port %d, the kernel gives %d", port, kernels)
		}
	}
}

// TestAddressesDiffer guards against a start that fails with "data: must differ
// from control".
func TestAddressesDiffer(t *testing.T) {
	const draws = 2000
	allocator := newAddressAllocator()
	seen := make(map[fleet.Address]bool)
	for range draws {
		address, err := allocator.next()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
