package main

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// TestAddressesDiffer guards against a start that fails with "data: must differ
// from control". The kernel may assign a port again as soon as the listener that
// was opened to find it is closed.
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
