package agent

import (
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/testseed"
)

// TestMain fixes what rapid draws, so that a run gives the same verdict each
// time.
func TestMain(m *testing.M) {
	testseed.Run(m, testseed.Flag{Name: "rapid.checks", Value: "3000"}, testseed.NoFailFile)
}
