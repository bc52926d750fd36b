// Command bluebell-router takes the calls of client accounts, holds what has to
// wait, and returns whole answers.
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
