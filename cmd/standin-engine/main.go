// Command standin-engine is a simulated backend server for tests and measurements.
// It is configured by flags instead of an INI file, as it is not one of the
// fleet's daemons.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bluebellchute/bluebellchute/internal/engine"
)

// crashStatus is the exit status after a request marked with x_crash.
const crashStatus = 70

type options struct {
	Listen        string        `long:"listen" default:"127.0.0.1:0" description:"address to serve on"`
	Name          string        `long:"name" default:"model" description:"service name in answers"`
	Plain         bool          `long:"plain" description:"serve as a plain service"`
	Slots         int           `long:"slots" default:"8" description:"requests that run at full speed"`
	Step          time.Duration `long:"step" default:"3ms" description:"time of a step, which yields a token per request"`
	PrefillTokens int           `long:"prefill-tokens" default:"512" description:"prompt tokens that a step takes in"`
	CacheTokens   int           `long:"cache-tokens" default:"65536" description:"size of the prefix cache"`
	MedianTokens  int           `long:"median-tokens" default:"200" description:"median length of answers"`
	Work          time.Duration `long:"work" default:"5ms" description:"work of a plain call that names none"`
	LoadInterval  time.Duration `long:"load-interval" default:"200ms" description:"time between two load reports"`
	PermitCrash   bool          `long:"permit-crash" description:"end the process on a request marked with x_crash"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e, err := engine.Listen(engine.Config{
		Name:          o.Name,
		Plain:         o.Plain,
		Slots:         o.Slots,
		Step:          o.Step,
		PrefillTokens: o.PrefillTokens,
		CacheTokens:   o.CacheTokens,
		MedianTokens:  o.MedianTokens,
		Work:          o.Work,
		LoadInterval:  o.LoadInterval,
		PermitCrash:   o.PermitCrash,
		OnCrash:       func() { os.Exit(crashStatus) },
	}, o.Listen)
	if err != nil {
		return err
	}
	fmt.Println("listening on", e.Address())
	return e.Run(ctx)
}
