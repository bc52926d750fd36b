package pathtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const proofPage = "../../docs/PROOF.md"

// TestProofNamesTests checks that each test that docs/PROOF.md names exists,
// and that its rows of the fault matrix are those of TestMatrix.
func TestProofNamesTests(t *testing.T) {
	page, err := os.ReadFile(proofPage)
	if err != nil {
		t.Fatal(err)
	}
	known := testNames(t)
	for _, name := range regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(page), -1) {
		if !known[name] {
			t.Errorf("%s names %s, which is no test", proofPage, name)
		}
	}
	for _, fault := range matrixFaults {
		if row := "| " + strings.ReplaceAll(fault.name, " ", "_") + " |"; !strings.Contains(string(page), row) {
			t.Errorf("%s has no row for %q", proofPage, fault.name)
		}
	}
}

// testNames returns the names of all tests of the module.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	var files []string
	for _, pattern := range []string{"../*/*_test.go", "../../platform/*_test.go", "../../platform/*/*_test.go"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	names := make(map[string]bool)
	declared := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range declared.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
	}
	return names
}
