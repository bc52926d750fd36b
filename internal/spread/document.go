package spread

import (
	"context"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// Document is one replicated document. Its content is opaque to this package.
// Implementations are safe for concurrent use.
type Document interface {
	// Revision returns the revision in force. It never decreases.
	Revision() uint64
	// Delta encodes what a node at revision since is missing, or the complete
	// document if since is 0 or too old. It is empty if since is not behind.
	Delta(since uint64) []byte
	// Apply applies a delta and reports whether Revision increased. A delta
	// that is not ahead, or that starts above Revision, changes nothing and is
	// no error: the sender's envelope then still shows a higher revision, and
	// the node pulls a delta that fits.
	Apply(delta []byte) (bool, error)
}

// Replica is a document whose revisions are accepted on the platform.
type Replica interface {
	Document
	// WatchPrefix returns the prefix of the keys that change with each accepted
	// revision.
	WatchPrefix() string
	// Load reads the accepted revision and applies it if it is higher than the
	// one in force; an older one, from a stale read, changes nothing. It
	// returns the platform's version from which a watch reports later changes.
	Load(ctx context.Context, api platform.API) (platform.Version, error)
	// ApplyChanges applies the changes that a watch returned.
	ApplyChanges(ctx context.Context, api platform.API, changes []platform.Change) error
}
