package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// history shows the accepted edits, the newest first.
type history struct {
	base
	Limit    int    `long:"limit" default:"20" description:"Edits to show; 0 shows all."`
	Path     string `long:"path" description:"Only edits at or below this node."`
	Edit     string `long:"edit" value-name:"ID" description:"Tell what became of an edit whose outcome was unknown; needs --revision."`
	Revision uint64 `long:"revision" value-name:"N" description:"With --edit: the revision that was named with the unknown outcome."`
}

func (c *history) run(s *session) error {
	if c.Edit != "" {
		return c.outcome(s)
	}
	ctx, cancel := s.context()
	defer cancel()
	editor, err := s.editor()
	if err != nil {
		return err
	}
	records := []settings.Record{}
	err = editor.Reader().History(ctx, 0, func(record settings.Record) bool {
		if c.wants(record) {
			records = append(records, record)
		}
		return c.Limit == 0 || len(records) < c.Limit
	})
	if err != nil {
		return err
	}
	return s.show(records, recordsTable(records))
}

func (c *history) wants(record settings.Record) bool {
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

// outcome tells what became of an edit.
func (c *history) outcome(s *session) error {
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

// recordsTable shows one change a line; who, when and why stand at the first.
func recordsTable(records []settings.Record) *table {
	people := &table{columns: []string{"REVISION", "TIME", "OPERATOR", "REASON", "OPERATION", "PATH", "KEY", "BEFORE", "AFTER"}}
	for _, record := range records {
		first := []string{fmt.Sprint(record.Revision), record.Time.Format(time.RFC3339), orDash(record.Operator), orDash(oneLine(record.Reason))}
		for _, change := range record.Changes {
			people.add(append(first, changeCells(change)...)...)
			first = []string{"", "", "", ""}
		}
	}
	return people
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
