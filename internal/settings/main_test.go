package settings

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/testseed"
)

// TestMain fixes the seed of the property-based tests, so that every run gives the
// same result.
func TestMain(m *testing.M) {
	testseed.Run(m, testseed.Flag{Name: "rapid.shrinktime", Value: "5s"}, testseed.NoFailFile)
}
