// Command bluebell-load sends the load of a scenario file to running routers and
// prints the results as one JSON object.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/bluebellchute/bluebellchute/internal/load"
)

// Exit statuses.
const (
	statusFailed    = 1
	statusBadConfig = 2
)

type options struct {
	Config      string `long:"config" required:"true" description:"scenario file (INI)"`
	CheckConfig bool   `long:"check-config" description:"check the scenario file and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(statusBadConfig)
	}
	scenario, err := load.ReadScenario(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusBadConfig)
	}
	if o.CheckConfig {
		return
	}
	if err := run(scenario); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusFailed)
	}
}

func run(scenario load.Scenario) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, scenario)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
