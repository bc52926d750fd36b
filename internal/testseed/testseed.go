// Package testseed fixes rapid's seed, so that a package's property-based tests
// give the same result in every run. Only tests use it.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Flag is a command-line flag of rapid with its value.
type Flag struct {
	Name  string
	Value string
}

// seed is the flag that is set for all packages.
var seed = Flag{Name: "rapid.seed", Value: "1"}

// NoFailFile keeps rapid from writing the inputs of a failed test into the source
// tree. The fixed seed reproduces them anyway.
var NoFailFile = Flag{Name: "rapid.nofailfile", Value: "true"}

// Run is the body of a package's TestMain: it sets the seed and the given flags,
// runs the tests and exits with their status. Flags on the command line take
// precedence. Run panics if a flag does not exist.
func Run(m *testing.M, flags ...Flag) {
	for _, f := range append([]Flag{seed}, flags...) {
		if err := flag.Set(f.Name, f.Value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
