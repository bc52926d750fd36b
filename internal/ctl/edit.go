package ctl

import (
	"fmt"
	"os/user"
	"strings"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// who is the flag of all commands that change something.
type who struct {
	Operator string `long:"operator" env:"BLUEBELL_OPERATOR" description:"Who gives the order; without it the user's login name."`
}

func (o who) operator() string {
	if o.Operator != "" {
		return o.Operator
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// editOptions are the flags of all commands that edit the settings.
type editOptions struct {
	who
	Reason string  `long:"reason" description:"Why, for the history."`
	Expect *uint64 `long:"expect-revision" value-name:"N" description:"Refuse the edit unless the tree is at this revision."`
	DryRun bool    `long:"dry-run" description:"Check the edit and show it, but don't send it."`
}

// planner works out an edit's changes from the tree as it is now.
type planner func(tree *settings.Tree) ([]settings.Change, error)

// edit reads the tree, checks the planned changes against it before anything is
// sent, submits them and shows the result. The changes were planned on the
// revision that was read, so an edit made since then to the same keys is a
// conflict. secret is an API key that the edit brings into force, or empty.
func (s *session) edit(options editOptions, secret string, plan planner) error {
	ctx, cancel := s.context()
	defer cancel()
	editor, snapshot, err := s.read(ctx)
	if err != nil {
		return err
	}
	changes, err := plan(snapshot.Tree)
	if err != nil {
		return err
	}
	checked, err := check(snapshot.Tree, changes)
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

// check returns the changes as they would be recorded, or all mistakes.
func check(tree *settings.Tree, changes []settings.Change) ([]settings.Change, error) {
	next, checked, err := tree.Apply(changes)
	if err != nil {
		return nil, err
	}
	return checked, next.Validate()
}

// resultError returns the error for a result that is not accepted.
func resultError(result settings.Result) error {
	switch result.Outcome {
	case settings.OutcomeAccepted:
		return nil
	case settings.OutcomeConflict:
		return &exitError{status: ExitConflict, cause: result.Err}
	case settings.OutcomeUnknown:
		return &exitError{status: ExitUnknown, cause: fmt.Errorf(
			"it is not known whether the edit was accepted (%v): ask again with: bluebellctl history --edit %s --revision %d",
			result.Err, result.ID, result.Revision)}
	default:
		return &exitError{status: notAcceptedStatus(result.Err), cause: fmt.Errorf("the edit is not accepted: %w", result.Err)}
	}
}

func notAcceptedStatus(err error) int {
	if statusOf(err) == ExitUsage {
		return ExitUsage
	}
	return ExitFailure
}

// resultJSON is a result for scripts.
type resultJSON struct {
	settings.Result
	APIKey string `json:"api_key,omitempty"`
	Error  string `json:"error,omitempty"`
}

// showResult shows how an edit ended. A new API key is shown here and never
// again, since the settings hold its hash only. When the outcome is unknown it
// may come into force, so it is shown as well.
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

// planJSON is a plan for scripts.
type planJSON struct {
	Revision uint64            `json:"revision"` // of the tree that the plan was made for
	Changes  []settings.Change `json:"changes"`
}

// showPlan shows changes that have not been sent.
func (s *session) showPlan(revision uint64, changes []settings.Change) error {
	if len(changes) == 0 && s.options.Output != outputJSON {
		fmt.Fprintf(s.Stdout, "nothing to change at revision %d\n", revision)
		return nil
	}
	return s.show(planJSON{Revision: revision, Changes: changes}, changesTable(changes))
}

func changesTable(changes []settings.Change) *table {
	people := &table{columns: []string{"OPERATION", "PATH", "KEY", "BEFORE", "AFTER"}}
	for _, change := range changes {
		people.add(changeCells(change)...)
	}
	return people
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
