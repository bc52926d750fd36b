// Command bluebell-lab simulates policies on random deployments and compares the
// results for callers. The experiment is an INI file; scenarios/lab has examples.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/internal/lab"
)

// Exit statuses.
const (
	statusFailed    = 1
	statusBadConfig = 2
)

type options struct {
	Output     string `long:"output" choice:"table" choice:"json" default:"table" description:"Form of the result."`
	Positional struct {
		Experiment string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(statusBadConfig)
	}
	var config lab.Config
	if err := inifile.Read(o.Positional.Experiment, &config); err != nil {
		fmt.Fprintln(os.Stderr, "bluebell-lab:", err)
		os.Exit(statusBadConfig)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	rows, err := lab.Compare(ctx, config, func(done int) {
		fmt.Fprintf(os.Stderr, "\r%d of %d deployments", done, config.Experiment.Deployments)
	})
	fmt.Fprintln(os.Stderr)
	if err == nil {
		err = write(o.Output, rows)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebell-lab:", err)
		os.Exit(statusFailed)
	}
}

func write(form string, rows []lab.Row) error {
	if form == "json" {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	const gap = 2
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, gap, ' ', 0)
	fmt.Fprintln(writer, "POLICY\tIN TIME: LOWEST TENTH\tMEDIAN\tHIGHEST TENTH\tTOKENS: LOWEST TENTH\tMEDIAN\tWORST ACCOUNT: LOWEST TENTH\tMEDIAN\tLATE")
	for _, row := range rows {
		fmt.Fprintf(writer, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%+.2f\t%+.2f\t%.2f\n", row.Policy,
			row.InTime.LowestTenth, row.InTime.Median, row.InTime.HighestTenth,
			row.Tokens.LowestTenth, row.Tokens.Median,
			row.Worst.LowestTenth, row.Worst.Median, row.Late)
	}
	return writer.Flush()
}
