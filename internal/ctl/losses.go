package ctl

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/losses"
)

// logFiles lists the log files that a command reads, of all routers together.
type logFiles struct {
	Logs []string `positional-arg-name:"LOG" required:"1" description:"A log of one or several routers, - for standard input."`
}

// read passes each log record to handle, and reports on stderr how many are invalid.
func (l logFiles) read(s *session, handle func(record losses.Record) error) error {
	for _, name := range l.Logs {
		invalid, err := readLog(s, name, handle)
		if err != nil {
			return errors.WithMessage(err, name)
		}
		if invalid > 0 {
			fmt.Fprintf(s.Stderr, "%s: skipped %d invalid records\n", name, invalid)
		}
	}
	return nil
}

func readLog(s *session, name string, handle func(record losses.Record) error) (invalid int, err error) {
	if name == "-" {
		return losses.Read(s.Stdin, handle)
	}
	file, err := os.Open(name)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer file.Close()
	return losses.Read(file, handle)
}

// lossesCommand summarizes what callers requested, were owed and were granted.
type lossesCommand struct {
	commandBase
	By         string   `long:"by" choice:"second" choice:"route" choice:"account" default:"route" description:"What a row of the table is."`
	Plot       string   `long:"plot" value-name:"FILE" description:"Write the requests of each second as a picture (SVG)."`
	Positional logFiles `positional-args:"true"`
}

func (c *lossesCommand) run(s *session) error {
	report := losses.NewReport()
	if err := c.Positional.read(s, report.Add); err != nil {
		return err
	}
	report.Finish()
	if len(report.Seconds) == 0 {
		return errors.New("the logs hold no counts of requests (event 2124)")
	}
	if c.Plot != "" {
		if err := writePlot(c.Plot, report); err != nil {
			return err
		}
	}
	return s.show(report, c.table(report))
}

func writePlot(name string, report *losses.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := report.Plot(file); err != nil {
		_ = file.Close() // the file is incomplete anyway
		return err
	}
	return errors.WithStack(file.Close())
}

func (c *lossesCommand) table(report *losses.Report) *table {
	switch c.By {
	case "second":
		return secondsTable(report)
	case "account":
		return accountsTable(report)
	}
	rows := &table{columns: append([]string{"ROUTE"}, countColumns...)}
	for _, name := range slices.Sorted(maps.Keys(report.Routes)) {
		rows.add(append([]string{orDash(name)}, countCells(report.Routes[name])...)...)
	}
	return rows
}

var countColumns = []string{"ENDED", "IN TIME", "LATE", "FAILED", "LEFT", "REFUSED", "BY REASON"}

func countCells(counts *losses.Counts) []string {
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(counts.Refused)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, counts.Refused[reason]))
	}
	cells := make([]string, 0, len(countColumns))
	for _, count := range []int{counts.Total(), counts.InTime, counts.Late, counts.Failed, counts.Disconnected, counts.TotalRefused()} {
		cells = append(cells, strconv.Itoa(count))
	}
	return append(cells, orDash(strings.Join(reasons, ", ")))
}

func secondsTable(report *losses.Report) *table {
	rows := &table{columns: append([]string{"SECOND", "ASKED", "SERVED", "SHORTAGE", "HEADROOM"}, countColumns...)}
	for _, second := range report.Seconds {
		cells := []string{second.At.UTC().Format("15:04:05"), formatTokens(second.Asked), formatTokens(second.Served), formatFraction(second.Shortage), formatFraction(second.Headroom)}
		rows.add(append(cells, countCells(&second.Counts)...)...)
	}
	return rows
}

func accountsTable(report *losses.Report) *table {
	rows := &table{columns: []string{"ACCOUNT", "ASKED", "OWED", "SERVED", "MISSED"}}
	for _, name := range slices.Sorted(maps.Keys(report.Accounts)) {
		account := report.Accounts[name]
		rows.add(string(name), formatTokens(account.Asked), formatTokens(account.Owed), formatTokens(account.Served), formatTokens(account.Missed))
	}
	return rows
}

func formatTokens(count float64) string { return strconv.FormatFloat(count, 'f', 0, 64) }

func formatFraction(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

// explain prints the records of one request at all routers.
type explain struct {
	commandBase
	Positional struct {
		Request string   `positional-arg-name:"ID" required:"true" description:"The request's id."`
		Logs    []string `positional-arg-name:"LOG" required:"1" description:"A log of one or several routers, - for standard input."`
	} `positional-args:"true"`
}

func (c *explain) run(s *session) error {
	path := losses.NewRequestTrace(c.Positional.Request)
	if err := (logFiles{Logs: c.Positional.Logs}).read(s, path.Add); err != nil {
		return err
	}
	records := path.Records()
	if len(records) == 0 {
		return errors.Errorf("no record of request %s: under load, only a sample of the requests is logged", c.Positional.Request)
	}
	for _, record := range records {
		if _, err := io.WriteString(s.Stdout, string(record.Raw)+"\n"); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
