// Package testseed fixes what rapid draws, so that a package's drawn tests give
// the same verdict each time. Only tests use it.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Flag is one of rapid's flags with its value.
type Flag struct {
	Name  string
	Value string
}

// seed is the flag that all packages share.
var seed = Flag{Name: "rapid.seed", Value: "1"}

// NoFailFile keeps rapid from writing the draws of a failed test into the
// source tree; with a fixed seed they come again by themselves.
var NoFailFile = Flag{Name: "rapid.nofailfile", Value: "true"}

// Run is the body of a package's TestMain: it sets the seed and the given
// flags, runs the tests and ends the process with their status. Flags on the
// command line go first. A flag that does not exist panics.
func Run(m *testing.M, flags ...Flag) {
	for _, f := range append([]Flag{seed}, flags...) {
		if err := flag.Set(f.Name, f.Value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
