package pathtest

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the drawn tests, so that each run gives the same
// verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
