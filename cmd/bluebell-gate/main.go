// Command bluebell-gate takes callers' requests on the users' platform and sends
// them directly to backend servers.
package main

import (
	"os"
	"runtime/debug"

	"github.com/samber/do/v2"

	"github.com/bluebellchute/bluebellchute/cmd/internal/gatewiring"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/gate"
)

const name = "bluebell-gate"

// gcPercent lets the heap grow to three times what is live before it is
// collected. The live heap is some megabytes, so with the default the collector
// runs very often: it took a seventh of the processor in BenchmarkStream of
// package platform. Where memory is short, the limit of the heap makes it run
// earlier. Memory is paid for as well, so it is not more.
const gcPercent = 200

func main() { os.Exit(run()) }

// run is the whole main function. It returns the exit status.
func run() int {
	config := new(gate.Config)
	parsed := daemon.ParseFlags(name, os.Args[1:], config, os.Stdout, os.Stderr)
	if parsed.Exit {
		return parsed.ExitStatus
	}
	debug.SetMemoryLimit(config.VM.HeapLimit())
	debug.SetGCPercent(gcPercent)
	logger := daemon.NewLogger(config.Log, daemon.NewAsyncWriter(os.Stdout)).WithField("node", config.Node.Name)
	injector := do.New()
	gatewiring.Wire(injector, config, parsed.ConfigPath, logger)
	service, err := do.Invoke[*gatewiring.Service](injector)
	if err != nil {
		logger.WithError(err).Error("wiring")
		return daemon.ExitFailure
	}
	return daemon.RunUntilSignal(name, service, logger)
}
