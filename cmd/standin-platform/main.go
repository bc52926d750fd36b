// Command standin-platform serves the platform's object API and list of VMs
// from memory, for tests and trials.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// shutdownTimeout bounds the wait for calls in progress at the end.
const shutdownTimeout = 3 * time.Second

// exitUsage is the exit status for a bad command line.
const exitUsage = 2

type options struct {
	Listen          string        `long:"listen" default:"127.0.0.1:7000" description:"address of the HTTP interface, ip:port"`
	WritesPerSecond int           `long:"writes-per-second" default:"400" description:"rate limit of writes"`
	ReadsPerSecond  int           `long:"reads-per-second" default:"2000" description:"rate limit of reads"`
	History         int           `long:"history" default:"4096" description:"changes kept for watches"`
	VMLag           time.Duration `long:"vm-lag" default:"2s" description:"time until a change shows in the list of VMs"`
	NodesMakeVMs    bool          `long:"nodes-make-vms" description:"list the VM of each written node object as live"`
	SeedSettings    string        `long:"seed-settings" description:"INI file of the settings tree to begin with"`
}

func main() {
	var options options
	if _, err := flags.Parse(&options); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(options); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func run(options options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return err
	}
	store := platform.NewStore(platform.StoreOptions{
		History:         options.History,
		WritesPerSecond: options.WritesPerSecond,
		ReadsPerSecond:  options.ReadsPerSecond,
		VMLag:           options.VMLag,
		NodesMakeVMs:    options.NodesMakeVMs,
	})
	if err := seed(ctx, store, options.SeedSettings); err != nil {
		return err
	}
	server := platform.NewServer(store)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	fmt.Println("listening on", listener.Addr())
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return server.Shutdown(limited)
}

// seed writes the settings tree of a file to the store, or nothing if the name is
// empty.
func seed(ctx context.Context, store *platform.Store, file string) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return settings.Bootstrap(ctx, store, text, "standin-platform").Err
}
