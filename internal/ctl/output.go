package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// outputJSON is the value of --output for scripts.
const outputJSON = "json"

// table is a result for people.
type table struct {
	columns []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) write(out io.Writer) error {
	const gap = 2
	writer := tabwriter.NewWriter(out, 0, 0, gap, ' ', 0)
	for _, row := range append([][]string{t.columns}, t.rows...) {
		fmt.Fprintln(writer, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	return errors.WithStack(writer.Flush())
}

// show writes a result as one line of JSON or as a table, as the operator wants
// it.
func (s *session) show(value any, people *table) error {
	if s.options.Output != outputJSON {
		return people.write(s.Stdout)
	}
	return errors.WithStack(json.NewEncoder(s.Stdout).Encode(value))
}

// orDash stands for an empty cell.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
