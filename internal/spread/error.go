package spread

import "github.com/pkg/errors"

// ErrGap tells that a delta starts above the revision in force.
var ErrGap = errors.New("delta starts above the revision in force")
