// Command bluebell-agent runs in the slot beside a backend server and owns its
// capacity: it admits, grants, charges, keeps answers and drains.
package main

import (
	"os"

	"github.com/bluebellchute/bluebellchute/cmd/internal/wiring"
	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
)

func main() {
	os.Exit(daemon.Main("bluebell-agent", new(agent.Config), wiring.Agent))
}
