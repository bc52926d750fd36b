package membership

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/testseed"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same result. A faulty directory that accepts a delta with a gap fails only
// after 905 generated runs, hence the number of checks.
func TestMain(m *testing.M) {
	testseed.Run(m, testseed.Flag{Name: "rapid.checks", Value: "2000"})
}
