package membership

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// peer is what a tracker holds of one node beside its record.
type peer struct {
	word      SelfReport
	suspicion suspicion
}

// Tracker puts together three sources that disagree for a while whenever
// something changes: the directory, which follows the platform's lagging list;
// what nodes say of themselves in control messages; and the calls of this node
// that failed. It is safe for concurrent use and reads no clock.
//
// A node is in the view as long as its record is in the directory, or while it
// introduces itself because it cannot register. It is
// leaving as soon as any source says so: to send work to a leaving server is
// worse than to leave a live one idle until the sources agree. Its own word
// holds for one incarnation only, so a restarted VM is live again. Suspicion
// changes neither; it only moves a node behind the others for a while.
type Tracker struct {
	directory *Directory

	mu      sync.Mutex
	peers   *tick.Table[fleet.Address, peer]
	guests  *tick.Table[fleet.Address, guest]
	view    View
	changed chan struct{}
}

// NewTracker returns a tracker over the directory.
func NewTracker(directory *Directory) *Tracker {
	return &Tracker{
		directory: directory,
		peers:     tick.NewTable[fleet.Address, peer](),
		guests:    tick.NewTable[fleet.Address, guest](),
		changed:   make(chan struct{}),
	}
}

// Observe takes in what a node says of itself. A message from it also proves
// that it can be reached.
func (t *Tracker) Observe(control fleet.Address, word SelfReport, now time.Time) {
	t.mu.Lock()
	known := t.peer(control)
	wasLeaving := known.word.Leaving
	wasSuspected := known.suspicion.active(now)
	if word.newerThan(known.word) {
		known.word = word
	}
	known.suspicion.clear()
	stale := wasSuspected || known.word.Leaving != wasLeaving
	t.mu.Unlock()
	if stale {
		t.Refresh(now)
	}
}

// CallFailed counts a call to a node that got no answer.
func (t *Tracker) CallFailed(control fleet.Address, now time.Time) {
	t.mu.Lock()
	known := t.peer(control)
	wasSuspected := known.suspicion.active(now)
	known.suspicion.fail(now)
	stale := !wasSuspected && known.suspicion.active(now)
	t.mu.Unlock()
	if stale {
		t.Refresh(now)
	}
}

func (t *Tracker) peer(control fleet.Address) *peer {
	return t.peers.GetOrCreate(control, func() *peer { return &peer{} })
}

// View returns the view of the last refresh.
func (t *Tracker) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Changed returns a channel that is closed when the view changes next. Take it
// before View, so that no change is missed.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Refresh puts the sources together again. It is to be called after a change
// of the directory, and now and then for suspicions that have ended.
func (t *Tracker) Refresh(now time.Time) View {
	records, _ := t.directory.Records()
	t.mu.Lock()
	defer t.mu.Unlock()
	next := View{Version: t.view.Version + 1, Suspects: make(map[fleet.Address]bool)}
	listed := make(map[fleet.Address]bool, len(records))
	for _, record := range records {
		listed[record.Control] = true
	}
	records = append(records, t.present(listed, now)...)
	for _, record := range records {
		listed[record.Control] = true
		next.Nodes = append(next.Nodes, t.resolve(record))
		if known := t.peers.Get(record.Control); known != nil && known.suspicion.active(now) {
			next.Suspects[record.Control] = true
		}
	}
	t.forget(listed, now)
	if slices.Equal(next.Nodes, t.view.Nodes) && maps.Equal(next.Suspects, t.view.Suspects) {
		return t.view
	}
	t.view = next
	close(t.changed)
	t.changed = make(chan struct{})
	return t.view
}

// NeedsRefresh tells that the view holds something that ends by itself, so that
// Refresh is due now and then.
func (t *Tracker) NeedsRefresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.view.Suspects) > 0 || t.guests.Len() > 0
}

// resolve returns the node with the state that all sources together give it.
func (t *Tracker) resolve(record Record) fleet.Node {
	node := record.Node
	leaving := record.Leaving()
	known := t.peers.Get(record.Control)
	if known != nil && known.word.Incarnation >= record.Incarnation {
		leaving = leaving || known.word.Leaving
	}
	node.State = stateOf(leaving)
	return node
}

// forget drops what is held of nodes that are gone, except fresh suspicions of
// nodes whose record may still be on its way.
func (t *Tracker) forget(listed map[fleet.Address]bool, now time.Time) {
	t.peers.Each(func(control fleet.Address, known *peer) {
		if !listed[control] && !known.suspicion.active(now) {
			t.peers.Delete(control)
		}
	})
}
