// Command measure-spread runs many nodes in one process, each with its own control
// port on loopback, and prints one JSON object: the costs of idle nodes, and the
// time until accepted edits are effective at all nodes when the platform goes down
// right after accepting them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bluebellchute/bluebellchute/internal/spread"
)

// Exit statuses.
const (
	statusFailed    = 1
	statusBadConfig = 2
)

type options struct {
	Nodes    int           `long:"nodes" default:"100" description:"number of nodes"`
	Zones    int           `long:"zones" default:"4" description:"number of availability zones"`
	Idle     time.Duration `long:"idle" default:"15s" description:"time for which the idle nodes are measured"`
	Settle   time.Duration `long:"settle" default:"8s" description:"time between the start and the measurement"`
	Edits    int           `long:"edits" default:"5" description:"number of edits"`
	Outage   time.Duration `long:"outage-after" default:"50ms" description:"time from an edit's acceptance to the platform's outage"`
	Accounts int           `long:"accounts" default:"200" description:"client accounts in the settings tree"`
	Exchange time.Duration `long:"exchange" default:"1s" description:"time between two exchanges of a node"`
	Partner  time.Duration `long:"partner" default:"10s" description:"time for which a node exchanges with the same peer"`
	Profile  string        `long:"cpu-profile" description:"file for a CPU profile of the idle time"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(statusBadConfig)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := measure(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure-spread:", err)
		os.Exit(statusFailed)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		os.Exit(statusFailed)
	}
}

// report is the printed JSON object.
type report struct {
	Nodes      int            `json:"nodes"`
	JoinedMs   int64          `json:"all_joined_ms"`
	Idle       idleFigures    `json:"idle"`
	Edits      []editFigures  `json:"edits"`
	TreeBytes  int            `json:"tree_bytes"`
	StartCalls map[string]int `json:"platform_calls_to_start"`
}

func measure(ctx context.Context, o options) (report, error) {
	fleet, err := startFleet(ctx, o, spread.Config{ExchangeInterval: o.Exchange, PartnerTTL: o.Partner})
	if err != nil {
		return report{}, err
	}
	defer fleet.stop()
	result := report{Nodes: o.Nodes}
	if result.JoinedMs, err = fleet.waitJoined(ctx); err != nil {
		return result, err
	}
	result.StartCalls = fleet.platformCalls()
	if err := sleep(ctx, o.Settle); err != nil {
		return result, err
	}
	result.TreeBytes = len(fleet.nodes[0].settings.Delta(0))
	if result.Idle, err = fleet.measureIdle(ctx, o); err != nil {
		return result, err
	}
	for number := range o.Edits {
		figures, err := fleet.measureEdit(ctx, o, number)
		if err != nil {
			return result, err
		}
		result.Edits = append(result.Edits, figures)
	}
	return result, nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
