package membership

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// peer is the state that a tracker keeps of one node besides its record.
type peer struct {
	report    SelfReport
	suspicion suspicion
}

// Tracker merges three sources that can disagree for a while after a change:
// the directory, which follows the platform's lagging list; what nodes report
// about themselves in control messages; and this node's own failed calls. It is
// safe for concurrent use and reads no clock.
//
// A node is in the view while its record is in the directory, or while it
// introduces itself because it cannot register. It is leaving as soon as any
// source says so: sending work to a leaving server is worse than leaving a live
// one idle until the sources agree. A node's self-report holds for one
// incarnation only, so a restarted VM is live again. Suspicion changes neither;
// it only ranks a node behind the others for a while.
type Tracker struct {
	directory *Directory

	mu           sync.Mutex
	peers        *tick.Table[fleet.Address, peer]
	unregistered *tick.Table[fleet.Address, unregisteredNode]
	view         View
	revision     uint64 // of the directory, as merged into the view
	changed      chan struct{}
}

// NewTracker returns a tracker over the directory.
func NewTracker(directory *Directory) *Tracker {
	return &Tracker{
		directory:    directory,
		peers:        tick.NewTable[fleet.Address, peer](),
		unregistered: tick.NewTable[fleet.Address, unregisteredNode](),
		changed:      make(chan struct{}),
	}
}

// Observe records a node's self-report. A message from the node also proves
// that it is reachable, so it clears any suspicion.
func (t *Tracker) Observe(control fleet.Address, report SelfReport, now time.Time) {
	t.mu.Lock()
	known := t.ensurePeer(control)
	wasLeaving := known.report.Leaving
	wasSuspected := known.suspicion.active(now)
	if report.newerThan(known.report) {
		known.report = report
	}
	known.suspicion.reset()
	stale := wasSuspected || known.report.Leaving != wasLeaving
	t.mu.Unlock()
	if stale {
		t.Refresh(now)
	}
}

// CallFailed counts a call to a node that got no answer.
func (t *Tracker) CallFailed(control fleet.Address, now time.Time) {
	t.mu.Lock()
	known := t.ensurePeer(control)
	wasSuspected := known.suspicion.active(now)
	known.suspicion.recordFailure(now)
	stale := !wasSuspected && known.suspicion.active(now)
	t.mu.Unlock()
	if stale {
		t.Refresh(now)
	}
}

func (t *Tracker) ensurePeer(control fleet.Address) *peer {
	return t.peers.GetOrCreate(control, func() *peer { return &peer{} })
}

// View returns the view of the last refresh.
func (t *Tracker) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Changed returns a channel that is closed at the next change of the view. Call
// it before View, so that no change is missed.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Refresh merges the sources again. Call it while Outdated reports true, and
// periodically while NeedsRefresh does.
func (t *Tracker) Refresh(now time.Time) View {
	records, revision := t.directory.Records()
	return t.merge(records, revision, now)
}

// merge merges the records of a revision of the directory with the other
// sources.
func (t *Tracker) merge(records []Record, revision uint64, now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A concurrent refresh that read the directory later has also seen all that
	// preceded this one.
	if revision < t.revision {
		return t.view
	}
	t.revision = revision
	next := View{Version: t.view.Version + 1, Suspects: make(map[fleet.Address]bool)}
	listed := make(map[fleet.Address]bool, len(records))
	for _, record := range records {
		listed[record.Control] = true
	}
	records = append(records, t.pruneUnregistered(listed, now)...)
	for _, record := range records {
		listed[record.Control] = true
		next.Nodes = append(next.Nodes, t.resolve(record))
		if known := t.peers.Get(record.Control); known != nil && known.suspicion.active(now) {
			next.Suspects[record.Control] = true
		}
	}
	t.prune(listed, now)
	if slices.Equal(next.Nodes, t.view.Nodes) && maps.Equal(next.Suspects, t.view.Suspects) {
		return t.view
	}
	t.view = next
	close(t.changed)
	t.changed = make(chan struct{})
	return t.view
}

// Outdated reports whether the directory has changed since it was last merged
// into the view.
func (t *Tracker) Outdated() bool {
	revision := t.directory.Revision()
	t.mu.Lock()
	defer t.mu.Unlock()
	return revision > t.revision
}

// NeedsRefresh reports whether the view contains suspicions or unregistered
// nodes, which expire with time, so that Refresh has to be called periodically.
func (t *Tracker) NeedsRefresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.view.Suspects) > 0 || t.unregistered.Len() > 0
}

// resolve returns the node with its state according to all sources.
func (t *Tracker) resolve(record Record) fleet.Node {
	node := record.Node
	leaving := record.Leaving()
	known := t.peers.Get(record.Control)
	if known != nil && known.report.Incarnation >= record.Incarnation {
		leaving = leaving || known.report.Leaving
	}
	node.State = stateOf(leaving)
	return node
}

// prune removes the state of nodes that no longer exist, except active
// suspicions of nodes whose record may still arrive.
func (t *Tracker) prune(listed map[fleet.Address]bool, now time.Time) {
	t.peers.Each(func(control fleet.Address, known *peer) {
		if !listed[control] && !known.suspicion.active(now) {
			t.peers.Delete(control)
		}
	})
}
