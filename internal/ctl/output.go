package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// table is a result as columns and rows of text.
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

// show writes a result as one line of JSON or as a table, depending on --output.
func (s *session) show(value any, rows *table) error {
	if s.options.Output != outputJSON {
		return rows.write(s.Stdout)
	}
	return errors.WithStack(json.NewEncoder(s.Stdout).Encode(value))
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
