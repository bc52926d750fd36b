// Package e2e tests faults with real processes: it builds the binaries, runs them
// on loopback, and kills, suspends or disconnects them. The decisions are tested
// in the packages that make them; these tests check the processes as a whole.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binaries is the directory with the programs that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	status, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 1
	}
	os.Exit(status)
}

func buildAndRun(m *testing.M) (int, error) {
	directory, err := os.MkdirTemp("", "bluebell-e2e-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(directory)
	build := exec.Command("go", "build", "-o", directory+string(os.PathSeparator),
		"../../cmd/bluebell-router", "../../cmd/bluebell-agent", "../../cmd/standin-platform", "../../cmd/standin-engine")
	if out, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("go build: %w\n%s", err, out)
	}
	binaries = directory
	return m.Run(), nil
}
