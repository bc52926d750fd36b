package ctl

import (
	"os"
	"strings"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// TestManualDescribesAllKeys checks that the manual page describes the keys as the
// registry does.
func TestManualDescribesAllKeys(t *testing.T) {
	manual, err := os.ReadFile("../../docs/bluebellctl.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range settings.Keys() {
		if row := "| " + strings.Join(keyCells(key), " | ") + " |"; !strings.Contains(string(manual), row) {
			t.Errorf("docs/bluebellctl.md lacks the row\n%s", row)
		}
	}
}
