package settings

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the drawn tests, so that each run gives the same
// verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
