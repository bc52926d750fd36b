// Command bluebell-gate is the router for the users' platform. It forwards callers'
// requests directly to backend servers.
package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/do/v2"

	"github.com/bluebellchute/bluebellchute/cmd/internal/gatewiring"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/gate"
)

const name = "bluebell-gate"

// gcPercent lets the heap grow to three times the live heap before a collection. The
// live heap is only some megabytes, so with the default of 100 the collector runs very
// often and takes a seventh of the CPU time in BenchmarkStream of package platform. If
// memory is short, the memory limit makes the collector run earlier. The value is not
// higher because memory costs money as well.
const gcPercent = 200

// flushTimeout is the time that the last log records have to be written. A reader that does
// not read must not delay the exit.
const flushTimeout = 50 * time.Millisecond

func main() { os.Exit(run()) }

// run runs the program and returns its exit status.
func run() int {
	// Until the reloader handles SIGHUP, it would end the process. The reloader reads the file
	// soon after it has started anyway.
	signal.Ignore(syscall.SIGHUP)
	config := new(gate.Config)
	parsed := daemon.ParseFlags(name, os.Args[1:], config, os.Stdout, os.Stderr)
	if parsed.Exit {
		return parsed.ExitStatus
	}
	debug.SetMemoryLimit(config.VM.HeapLimit())
	debug.SetGCPercent(gcPercent)
	output := daemon.NewAsyncWriter(os.Stdout)
	defer output.Flush(flushTimeout)
	logger := daemon.NewLogger(config.Log, output).WithField("node", config.Node.Name)
	injector := do.New()
	gatewiring.Wire(injector, config, parsed.ConfigPath, logger)
	service, err := do.Invoke[*gatewiring.Service](injector)
	if err != nil {
		logger.WithError(err).Error("wiring")
		return daemon.ExitFailure
	}
	return daemon.RunUntilSignal(name, service, logger)
}
