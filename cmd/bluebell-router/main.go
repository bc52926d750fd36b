// Command bluebell-router accepts the calls of client accounts, queues those that
// have to wait for capacity, and returns complete answers.
package main

import (
	"os"

	"github.com/bluebellchute/bluebellchute/cmd/internal/wiring"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/router"
)

func main() {
	os.Exit(daemon.Main("bluebell-router", new(router.Config), wiring.Router))
}
