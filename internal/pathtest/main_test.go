package pathtest

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/testseed"
)

// TestMain fixes the seed of the property tests, so that each run gives the same
// result.
func TestMain(m *testing.M) {
	testseed.Run(m, testseed.Flag{Name: "rapid.checks", Value: "400"}, testseed.NoFailFile)
}
