package settings

import (
	"sync"
	"sync/atomic"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Limits of the edits that a replica keeps for peers that are a little behind.
// Peers that are further behind get the whole tree.
const (
	maxLog        = 256
	maxLogChanges = 2048
)

// Replica is the settings as one node holds them. It takes only higher
// revisions, so whatever order news arrive in, the revision in force never
// falls. It is safe for concurrent use.
type Replica struct {
	view       atomic.Pointer[resolvedView] // read without the lock, so that no request waits for an edit
	mu         sync.Mutex                   // held by whoever changes the fields
	log        []editDelta                  // gapless, up to the revision in force
	logChanges int
	changed    chan struct{}
}

// NewReplica returns a replica at revision 0, which has the default settings
// and no client accounts.
func NewReplica() *Replica {
	r := &Replica{changed: make(chan struct{})}
	r.view.Store(newView(NewTree()))
	return r
}

// View returns the settings in force, or nil before the first revision.
func (r *Replica) View() View {
	view := r.view.Load()
	if view.Revision() == 0 {
		return nil
	}
	return view
}

// Tree returns the tree in force.
func (r *Replica) Tree() *Tree { return r.view.Load().tree }

// Revision returns the revision in force.
func (r *Replica) Revision() uint64 { return r.view.Load().Revision() }

// Changed returns a channel that is closed at the next rise of the revision.
// Take it before View, so that no change is missed.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Delta encodes what a node at revision since lacks: the edits after it, or the
// whole tree when they are not all at hand. It is empty when since is not
// behind.
func (r *Replica) Delta(since uint64) []byte {
	r.mu.Lock()
	recent, tree := r.log, r.Tree()
	r.mu.Unlock()
	if since >= tree.Revision() {
		return nil
	}
	missing := delta{Whole: newWholeTree(tree)}
	if oldest := tree.Revision() - uint64(len(recent)); since >= oldest {
		missing = delta{Edits: recent[since-oldest:]}
	}
	data, err := encodeDelta(missing)
	if err != nil {
		return nil // cannot happen: the types have only texts and numbers
	}
	return data
}

// Apply takes in a delta and reports whether the revision rose. A delta that
// begins above the revision in force, or that is not ahead of it, changes
// nothing.
func (r *Replica) Apply(data []byte) (bool, error) {
	news, err := decodeDelta(data)
	if err != nil {
		return false, fleet.Wrap(err, fleet.StepSpread, "")
	}
	if news.Whole != nil {
		return r.takeTree(news.Whole.tree()), nil
	}
	return r.takeEdits(news.Edits)
}

// takeTree puts a whole tree in force when it is higher.
func (r *Replica) takeTree(tree *Tree) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tree.Revision() <= r.Revision() {
		return false
	}
	r.log, r.logChanges = nil, 0
	r.force(newView(tree))
	return true
}

// takeEdits puts the edits in force that follow the present revision. Either
// all of them apply or none does.
func (r *Replica) takeEdits(edits []editDelta) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := following(edits, r.Revision())
	if len(next) == 0 {
		return false, nil
	}
	tree := r.Tree()
	var touched []Path
	for _, edit := range next {
		applied, _, err := tree.Apply(edit.Changes)
		if err != nil {
			return false, fleet.Wrap(err, fleet.StepApply, "")
		}
		tree = applied.WithRevision(edit.Revision)
		touched = append(touched, touchedPaths(edit.Changes)...)
	}
	r.force(r.view.Load().next(tree, touched))
	r.remember(next)
	return true, nil
}

// following returns the edits that continue a revision without a gap. An edit
// applied to another tree than the one it was accepted on would leave this node
// with settings that no other node has.
func following(edits []editDelta, revision uint64) []editDelta {
	for place, edit := range edits {
		if edit.Revision <= revision {
			continue
		}
		next := edits[place:]
		for offset, follower := range next {
			if follower.Revision != revision+1+uint64(offset) {
				return nil
			}
		}
		return next
	}
	return nil
}

func (r *Replica) force(view *resolvedView) {
	r.view.Store(view)
	close(r.changed)
	r.changed = make(chan struct{})
}

// remember keeps edits for peers and drops the oldest ones over the limits.
func (r *Replica) remember(edits []editDelta) {
	r.log = append(r.log[:len(r.log):len(r.log)], edits...)
	for _, edit := range edits {
		r.logChanges += len(edit.Changes)
	}
	for len(r.log) > 0 && (len(r.log) > maxLog || r.logChanges > maxLogChanges) {
		r.logChanges -= len(r.log[0].Changes)
		r.log = r.log[1:]
	}
}
