// Command bluebell-agent runs beside a backend server and manages its capacity: it
// grants slots to routers, admits requests, accounts for their cost, holds answers
// until they are acknowledged, and drains the server.
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
