package settings

import (
	"sync"
	"sync/atomic"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Limits of the edit log that a replica keeps for peers that are a little behind.
// Peers that are further behind get the complete tree.
const (
	maxLogEdits   = 256
	maxLogChanges = 2048
)

// Replica is a node's copy of the settings. It only accepts higher revisions, so
// its revision never decreases, whatever order updates arrive in. It is safe for
// concurrent use.
type Replica struct {
	view       atomic.Pointer[resolvedView] // read without mu, so that no request waits for an edit
	mu         sync.Mutex                   // held to write any field and to read log and changed
	log        []editDelta                  // consecutive revisions up to the current one
	logChanges int
	changed    chan struct{}
}

// NewReplica returns a replica at revision 0, with default settings and no client
// accounts.
func NewReplica() *Replica {
	r := &Replica{changed: make(chan struct{})}
	r.view.Store(newView(NewTree()))
	return r
}

// View returns the current settings, or nil before the first revision.
func (r *Replica) View() View {
	view := r.view.Load()
	if view.Revision() == 0 {
		return nil
	}
	return view
}

// Tree returns the current tree.
func (r *Replica) Tree() *Tree { return r.view.Load().tree }

// Revision returns the current revision.
func (r *Replica) Revision() uint64 { return r.view.Load().Revision() }

// Changed returns a channel that is closed when the revision next increases. To
// miss no change, call it before View.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Delta encodes the update for a node at revision since: the edits after it, or
// the complete tree if the log doesn't have all of them. It is empty if since is
// not behind the current revision.
func (r *Replica) Delta(since uint64) []byte {
	r.mu.Lock()
	recent, tree := r.log, r.Tree()
	r.mu.Unlock()
	if since >= tree.Revision() {
		return nil
	}
	update := delta{FullTree: newFullTree(tree)}
	if oldest := tree.Revision() - uint64(len(recent)); since >= oldest {
		update = delta{Edits: recent[since-oldest:]}
	}
	data, err := encodeDelta(update)
	if err != nil {
		return nil // cannot happen: a delta consists of strings and numbers
	}
	return data
}

// Apply applies a delta and reports whether the revision increased. A delta that
// leaves a gap after the current revision, or that is not ahead of it, has no
// effect.
func (r *Replica) Apply(data []byte) (bool, error) {
	update, err := decodeDelta(data)
	if err != nil {
		return false, fleet.Wrap(err, fleet.StepSpread, "")
	}
	if update.FullTree != nil {
		return r.installTree(update.FullTree.tree()), nil
	}
	return r.applyEdits(update.Edits)
}

// installTree replaces the tree if the new one has a higher revision.
func (r *Replica) installTree(tree *Tree) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tree.Revision() <= r.Revision() {
		return false
	}
	r.log, r.logChanges = nil, 0
	r.publish(newView(tree))
	return true
}

// applyEdits applies the edits that follow the current revision, either all of
// them or none.
func (r *Replica) applyEdits(edits []editDelta) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := contiguousEdits(edits, r.Revision())
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
	r.publish(r.view.Load().withChanges(tree, touched))
	r.appendLog(next)
	return true, nil
}

// contiguousEdits returns the edits after a revision, or nil if there is a gap. An
// edit applied to a tree other than the one that it was accepted on would leave
// this node with settings that no other node has.
func contiguousEdits(edits []editDelta, revision uint64) []editDelta {
	for i, edit := range edits {
		if edit.Revision <= revision {
			continue
		}
		next := edits[i:]
		for offset, edit := range next {
			if edit.Revision != revision+1+uint64(offset) {
				return nil
			}
		}
		return next
	}
	return nil
}

func (r *Replica) publish(view *resolvedView) {
	r.view.Store(view)
	close(r.changed)
	r.changed = make(chan struct{})
}

// appendLog adds edits to the log and drops the oldest ones above the limits.
func (r *Replica) appendLog(edits []editDelta) {
	r.log = append(r.log[:len(r.log):len(r.log)], edits...)
	for _, edit := range edits {
		r.logChanges += len(edit.Changes)
	}
	for len(r.log) > 0 && (len(r.log) > maxLogEdits || r.logChanges > maxLogChanges) {
		r.logChanges -= len(r.log[0].Changes)
		r.log = r.log[1:]
	}
}
