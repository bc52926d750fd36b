package ctl

import (
	"fmt"
	"os/user"
	"strings"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// operatorOptions holds the flag of all commands that change something.
type operatorOptions struct {
	Operator string `long:"operator" env:"BLUEBELL_OPERATOR" description:"Who gives the order; without it the user's login name."`
}

func (o operatorOptions) operator() string {
	if o.Operator != "" {
		return o.Operator
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// editOptions holds the flags of all commands that edit the settings.
type editOptions struct {
	operatorOptions
	Reason string  `long:"reason" description:"Why, for the history."`
	Expect *uint64 `long:"expect-revision" value-name:"N" description:"Refuse the edit unless the tree is at this revision."`
	DryRun bool    `long:"dry-run" description:"Check the edit and show it, but don't send it."`
}

// planFunc computes the changes of an edit from the current tree.
type planFunc func(tree *settings.Tree) ([]settings.Change, error)

// edit reads the tree, validates the planned changes against it, submits them
// and shows the result. The changes are based on the revision that was read: a
// later edit of the same keys is a conflict. secret is an API key that the edit
// activates, or empty.
func (s *session) edit(options editOptions, secret string, plan planFunc) error {
	ctx, cancel := s.context()
	defer cancel()
	editor, snapshot, err := s.readSettings(ctx)
	if err != nil {
		return err
	}
	changes, err := plan(snapshot.Tree)
	if err != nil {
		return err
	}
	checked, err := checkChanges(snapshot.Tree, changes)
	if err != nil {
		return err
	}
	if len(checked) == 0 || options.DryRun {
		return s.showPlan(snapshot.Tree.Revision(), checked)
	}
	result := editor.Submit(ctx, settings.Edit{
		Operator:         options.operator(),
		Reason:           options.Reason,
		Changes:          changes,
		ExpectedRevision: options.Expect,
		BaseRevision:     lo.ToPtr(snapshot.Tree.Revision()),
	})
	if err := s.showResult(result, secret); err != nil {
		return err
	}
	return resultError(result)
}

// checkChanges returns the changes as they would be recorded, or an error with
// all problems.
func checkChanges(tree *settings.Tree, changes []settings.Change) ([]settings.Change, error) {
	next, checked, err := tree.Apply(changes)
	if err != nil {
		return nil, err
	}
	return checked, next.Validate()
}

// resultError returns the error for a result, or nil if the edit was accepted.
func resultError(result settings.Result) error {
	switch result.Outcome {
	case settings.OutcomeAccepted:
		return nil
	case settings.OutcomeConflict:
		return &exitError{status: ExitConflict, cause: result.Err}
	case settings.OutcomeUnknown:
		return &exitError{status: ExitUnknown, cause: fmt.Errorf(
			"it is not known whether the edit was accepted (%v): check again with: bluebellctl history --edit %s --revision %d",
			result.Err, result.ID, result.Revision)}
	default:
		return &exitError{status: notAcceptedStatus(result.Err), cause: fmt.Errorf("the edit is not accepted: %w", result.Err)}
	}
}

func notAcceptedStatus(err error) int {
	if exitStatus(err) == ExitUsage {
		return ExitUsage
	}
	return ExitFailure
}

// resultJSON is the JSON output of an edit.
type resultJSON struct {
	settings.Result
	APIKey string `json:"api_key,omitempty"`
	Error  string `json:"error,omitempty"`
}

// showResult shows the result of an edit. This is the only time that a new API
// key is shown, since the settings hold only its hash. It is also shown when the
// outcome is unknown, since the edit may still come into force.
func (s *session) showResult(result settings.Result, secret string) error {
	if result.Outcome != settings.OutcomeAccepted && result.Outcome != settings.OutcomeUnknown {
		secret = ""
	}
	if s.options.Output == outputJSON {
		shown := resultJSON{Result: result, APIKey: secret}
		if result.Err != nil {
			shown.Error = result.Err.Error()
		}
		return s.show(shown, nil)
	}
	if secret != "" {
		fmt.Fprintf(s.Stdout, "API key (not shown again): %s\n", secret)
	}
	if result.Outcome == settings.OutcomeAccepted {
		fmt.Fprintf(s.Stdout, "accepted as revision %d\n", result.Revision)
		return changesTable(result.Changes).write(s.Stdout)
	}
	if len(result.Conflicts) > 0 {
		fmt.Fprintln(s.Stdout, "conflict with:")
		return recordsTable(result.Conflicts).write(s.Stdout)
	}
	return nil
}

// planJSON is the JSON output of a dry run or a diff.
type planJSON struct {
	Revision uint64            `json:"revision"` // of the tree on which the changes are based
	Changes  []settings.Change `json:"changes"`
}

// showPlan shows changes that haven't been submitted.
func (s *session) showPlan(revision uint64, changes []settings.Change) error {
	if len(changes) == 0 && s.options.Output != outputJSON {
		fmt.Fprintf(s.Stdout, "nothing to change at revision %d\n", revision)
		return nil
	}
	return s.show(planJSON{Revision: revision, Changes: changes}, changesTable(changes))
}

func changesTable(changes []settings.Change) *table {
	rows := &table{columns: []string{"OPERATION", "PATH", "KEY", "BEFORE", "AFTER"}}
	for _, change := range changes {
		rows.add(changeCells(change)...)
	}
	return rows
}

func changeCells(change settings.Change) []string {
	before, after := change.Before, change.After
	switch change.Op {
	case settings.OpMove:
		before, after = string(change.Path), string(change.To)
	case settings.OpCreate:
		after = joinSettings(change.Settings)
	case settings.OpRemove:
		before = joinSettings(change.Settings)
	}
	return []string{string(change.Op), string(change.Path), orDash(string(change.Key)), orDash(before), orDash(after)}
}

func joinSettings(own []settings.Setting) string {
	return strings.Join(lo.Map(own, func(setting settings.Setting, _ int) string {
		return string(setting.Key) + "=" + setting.Value
	}), " ")
}
