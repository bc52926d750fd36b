package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// history shows the accepted edits, newest first.
type history struct {
	commandBase
	Limit    int    `long:"limit" default:"20" description:"Edits to show; 0 shows all."`
	Path     string `long:"path" description:"Only edits at or below this node."`
	Edit     string `long:"edit" value-name:"ID" description:"Tell what became of an edit whose outcome was unknown; needs --revision."`
	Revision uint64 `long:"revision" value-name:"N" description:"With --edit: the revision that was named with the unknown outcome."`
}

func (c *history) run(s *session) error {
	if c.Edit != "" {
		return c.showOutcome(s)
	}
	ctx, cancel := s.context()
	defer cancel()
	editor, err := s.editor()
	if err != nil {
		return err
	}
	records := []settings.Record{}
	err = editor.Reader().History(ctx, 0, func(record settings.Record) bool {
		if c.matches(record) {
			records = append(records, record)
		}
		return c.Limit == 0 || len(records) < c.Limit
	})
	if err != nil {
		return err
	}
	return s.show(records, recordsTable(records))
}

func (c *history) matches(record settings.Record) bool {
	if c.Path == "" {
		return true
	}
	top := settings.Path(c.Path)
	for _, change := range record.Changes {
		if top.Contains(change.Path) || change.To != "" && top.Contains(change.To) {
			return true
		}
	}
	return false
}

// showOutcome shows the outcome of the edit that --edit names.
func (c *history) showOutcome(s *session) error {
	id, err := uuid.Parse(c.Edit)
	if err != nil || c.Revision == 0 {
		return usageErrorf("--edit needs the edit's id and --revision")
	}
	ctx, cancel := s.context()
	defer cancel()
	editor, err := s.editor()
	if err != nil {
		return err
	}
	outcome, record, err := editor.Reader().OutcomeOf(ctx, id, c.Revision)
	if err != nil {
		return err
	}
	result := settings.Result{Outcome: outcome, ID: id, Revision: record.Revision, Changes: record.Changes}
	switch outcome {
	case settings.OutcomeUnknown:
		result.Revision = c.Revision
		result.Err = fmt.Errorf("there is no revision %d yet", c.Revision)
	case settings.OutcomeNotAccepted:
		result.Err = fmt.Errorf("another edit has revision %d", c.Revision)
	}
	if err := s.showResult(result, ""); err != nil {
		return err
	}
	return resultError(result)
}

// recordsTable returns a table with one change per row. Only the first row of an
// edit shows the revision, time, operator and reason.
func recordsTable(records []settings.Record) *table {
	rows := &table{columns: []string{"REVISION", "TIME", "OPERATOR", "REASON", "OPERATION", "PATH", "KEY", "BEFORE", "AFTER"}}
	for _, record := range records {
		metadata := []string{fmt.Sprint(record.Revision), record.Time.Format(time.RFC3339), orDash(record.Operator), orDash(singleLine(record.Reason))}
		for _, change := range record.Changes {
			rows.add(append(metadata, changeCells(change)...)...)
			metadata = []string{"", "", "", ""}
		}
	}
	return rows
}

func singleLine(text string) string { return strings.Join(strings.Fields(text), " ") }
