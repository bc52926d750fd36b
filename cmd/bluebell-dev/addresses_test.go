package main

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// TestAddressesDiffer covers this failure:
//
// Symptom: bluebell-dev now and then ends at its start with "data: must differ
// from control".
// Sequence: it asks the kernel for a free port for the one, closes it, and
// asks for the other.
// Cause: a port that was closed is free, and may be named again at once.
func TestAddressesDiffer(t *testing.T) {
	const draws = 2000
	book := newAddresses()
	seen := make(map[fleet.Address]bool)
	for range draws {
		address, err := book.next()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s came twice", address)
		}
		seen[address] = true
	}
}
