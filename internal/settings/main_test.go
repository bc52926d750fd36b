package settings

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/testseed"
)

// TestMain fixes the seed of the drawn tests, so that each run gives the same
// verdict.
func TestMain(m *testing.M) {
	testseed.Run(m, testseed.Flag{Name: "rapid.shrinktime", Value: "5s"}, testseed.NoFailFile)
}
