// Command measure-path measures calls of a plain service through a running router
// and agent, and prints one JSON object. Its modes are latency (the time that
// router and agent add to a direct call), throughput (the CPU time of the router
// per call) and waiting (the memory of the router per waiting request).
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/bluebellchute/bluebellchute/internal/measurepath"
)

// Exit statuses.
const (
	statusFailed    = 1
	statusBadConfig = 2
)

type options struct {
	Router string `long:"router" required:"true" value-name:"URL" description:"URL of a plain service at the router"`
	Key    string `long:"api-key" required:"true" value-name:"KEY" description:"API key of a client account"`
	WorkMs int    `long:"work-ms" default:"1" description:"work of one call in milliseconds; waiting takes 30000 instead"`

	Latency    latencyOptions    `command:"latency" description:"compare calls through the router with direct calls"`
	Throughput throughputOptions `command:"throughput" description:"measure the processor time of the router per call"`
	Waiting    waitingOptions    `command:"waiting" description:"measure the memory of the router per waiting request; the service needs few slots"`
}

type latencyOptions struct {
	Direct string `long:"direct" required:"true" value-name:"URL" description:"URL of the same backend server"`
	Calls  int    `long:"calls" default:"3000" description:"number of calls on each way"`
}

type throughputOptions struct {
	Metrics string `long:"metrics" required:"true" value-name:"IP:PORT" description:"control address of the router"`
	Calls   int    `long:"calls" default:"40000" description:"number of calls"`
	Callers int    `long:"callers" default:"64" description:"number of callers at the same time"`
}

type waitingOptions struct {
	Metrics  string `long:"metrics" required:"true" value-name:"IP:PORT" description:"control address of the router"`
	Requests int    `long:"requests" default:"10000" description:"number of requests that wait"`
}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(statusBadConfig)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	figures, err := measure(ctx, o, parser.Active.Name)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure-path:", err)
		os.Exit(statusFailed)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(figures); err != nil {
		os.Exit(statusFailed)
	}
}

func measure(ctx context.Context, o options, mode string) (any, error) {
	target := measurepath.Target{URL: o.Router, APIKey: o.Key, WorkMs: o.WorkMs}
	switch mode {
	case "latency":
		return measurepath.Latency(ctx, target, o.Latency.Direct, o.Latency.Calls)
	case "throughput":
		return measurepath.Throughput(ctx, target, o.Throughput.Metrics, o.Throughput.Calls, o.Throughput.Callers)
	default:
		return measurepath.Waiting(ctx, target, o.Waiting.Metrics, o.Waiting.Requests)
	}
}
