package settings

import (
	"context"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// Bootstrap writes the tree of a text form as the first revision to a platform
// that holds no settings yet. When it holds some, the result is a conflict.
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
