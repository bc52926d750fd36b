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

// logFiles are the logs that a command reads, those of all routers together.
type logFiles struct {
	Logs []string `positional-arg-name:"LOG" required:"1" description:"A log of one or several routers, - for standard input."`
}

// read hands each record of the logs to take. It tells of those that can't be read.
func (l logFiles) read(s *session, take func(record losses.Record) error) error {
	for _, name := range l.Logs {
		spoiled, err := readLog(s, name, take)
		if err != nil {
			return errors.WithMessage(err, name)
		}
		if spoiled > 0 {
			fmt.Fprintf(s.Stderr, "%s: %d records could not be read and are left out\n", name, spoiled)
		}
	}
	return nil
}

func readLog(s *session, name string, take func(record losses.Record) error) (spoiled int, err error) {
	if name == "-" {
		return losses.Read(s.Stdin, take)
	}
	file, err := os.Open(name)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer file.Close()
	return losses.Read(file, take)
}

// lossesCommand tells what callers asked, were owed and got.
type lossesCommand struct {
	base
	By         string   `long:"by" choice:"second" choice:"route" choice:"account" default:"route" description:"What a row of the table is."`
	Plot       string   `long:"plot" value-name:"FILE" description:"Write the requests of each second as a picture (SVG)."`
	Positional logFiles `positional-args:"true"`
}

func (c *lossesCommand) run(s *session) error {
	report := losses.NewReport()
	if err := c.Positional.read(s, report.Take); err != nil {
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
		_ = file.Close() // the picture is not whole anyway
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
	people := &table{columns: append([]string{"ROUTE"}, countColumns...)}
	for _, name := range slices.Sorted(maps.Keys(report.Routes)) {
		people.add(append([]string{orDash(name)}, countCells(report.Routes[name])...)...)
	}
	return people
}

var countColumns = []string{"ENDED", "IN TIME", "LATE", "FAILED", "LEFT", "REFUSED", "BY REASON"}

func countCells(counts *losses.Counts) []string {
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(counts.Refused)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, counts.Refused[reason]))
	}
	cells := make([]string, 0, len(countColumns))
	for _, count := range []int{counts.All(), counts.InTime, counts.Late, counts.Failed, counts.Left, counts.RefusedAll()} {
		cells = append(cells, strconv.Itoa(count))
	}
	return append(cells, orDash(strings.Join(reasons, ", ")))
}

func secondsTable(report *losses.Report) *table {
	people := &table{columns: append([]string{"SECOND", "ASKED", "SERVED", "SHORTAGE", "HEADROOM"}, countColumns...)}
	for _, second := range report.Seconds {
		cells := []string{second.At.UTC().Format("15:04:05"), tokens(second.Asked), tokens(second.Served), part(second.Shortage), part(second.Headroom)}
		people.add(append(cells, countCells(&second.Counts)...)...)
	}
	return people
}

func accountsTable(report *losses.Report) *table {
	people := &table{columns: []string{"ACCOUNT", "ASKED", "OWED", "SERVED", "MISSED"}}
	for _, name := range slices.Sorted(maps.Keys(report.Accounts)) {
		account := report.Accounts[name]
		people.add(string(name), tokens(account.Asked), tokens(account.Owed), tokens(account.Served), tokens(account.Missed))
	}
	return people
}

func tokens(count float64) string { return strconv.FormatFloat(count, 'f', 0, 64) }

func part(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

// explain prints one request's way through the routers.
type explain struct {
	base
	Positional struct {
		Request string   `positional-arg-name:"ID" required:"true" description:"The request's id."`
		Logs    []string `positional-arg-name:"LOG" required:"1" description:"A log of one or several routers, - for standard input."`
	} `positional-args:"true"`
}

func (c *explain) run(s *session) error {
	path := losses.NewPath(c.Positional.Request)
	if err := (logFiles{Logs: c.Positional.Logs}).read(s, path.Take); err != nil {
		return err
	}
	records := path.Records()
	if len(records) == 0 {
		return errors.Errorf("no record of request %s: records of single requests are a sample when there are many", c.Positional.Request)
	}
	for _, record := range records {
		if _, err := io.WriteString(s.Stdout, string(record.Raw)+"\n"); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
