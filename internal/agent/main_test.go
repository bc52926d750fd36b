package agent

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes what rapid draws, so that a run gives the same verdict each
// time. Flags on the command line go first.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
