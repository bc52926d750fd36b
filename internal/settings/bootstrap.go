package settings

import (
	"context"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// Bootstrap parses a tree in INI form and writes it as the first revision to a
// platform that has no settings yet. If it has some, the outcome is a conflict.
func Bootstrap(ctx context.Context, api platform.API, text []byte, operator string) Result {
	tree, err := ParseINI(text)
	if err != nil {
		return Result{Outcome: OutcomeNotAccepted, Err: err}
	}
	var none uint64
	return NewEditor(api, DefaultRetryPolicy()).Submit(ctx, Edit{
		Operator:         operator,
		Reason:           "first settings",
		Changes:          Diff(NewTree(), tree),
		ExpectedRevision: &none,
	})
}
