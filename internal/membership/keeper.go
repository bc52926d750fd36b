package membership

import (
	"maps"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

const (
	// settleTime is for how long the list must say the same before a keeper
	// takes a word back: that a leaving VM is live again, or that a VM is gone.
	// A stale read shows an older list for a moment; to follow it would send
	// work to a leaving server or drop nodes that have just come.
	settleTime = 5 * time.Second
	// newNodeGrace is for how long a node may be missing in the list that has
	// never shown its VM. The list lags behind new VMs.
	newNodeGrace = 30 * time.Second
	// maxRemovals bounds the records removed at one reading. A list that is
	// wrongly empty would else remove the fleet; so it removes a few, which
	// register again.
	maxRemovals = 5
)

// Write is a conditional change of a node's record that a keeper asks for.
type Write struct {
	Record Record // Version is what the platform must still have
	Remove bool
}

// Reconciler carries the platform's list of VMs over to the nodes' records, so that
// one lagging list becomes versioned changes which spread like all others. Its
// writes are conditional on the record's version: a node that registers again
// meanwhile wins over the older list. A Keeper is not safe for concurrent use
// and reads no clock.
type Reconciler struct {
	seen   map[string]bool // VMs that some reading has shown
	doubts map[fleet.Address]doubt
}

// doubt is a difference between the list and one version of a record.
type doubt struct {
	since   time.Time
	version platform.Version
}

// NewReconciler returns a keeper that has read no list yet.
func NewReconciler() *Reconciler {
	return &Reconciler{seen: make(map[string]bool), doubts: make(map[fleet.Address]doubt)}
}

// Reconcile compares one reading of the list with the records and returns the
// writes that bring them level.
func (k *Reconciler) Reconcile(now time.Time, vms []platform.VM, records []Record) []Write {
	states := make(map[string]fleet.VMState, len(vms))
	for _, vm := range vms {
		states[vm.Name] = vm.State
		k.seen[vm.Name] = true
	}
	k.forget(states, records)
	var writes []Write
	removals := 0
	for _, record := range records {
		write, due := k.decideOne(now, states[record.VM], record)
		if !due {
			continue
		}
		if write.Remove {
			removals++
		}
		if removals > maxRemovals {
			break
		}
		writes = append(writes, write)
	}
	return writes
}

// decideOne compares a record with the list's state of its VM, which is empty
// for a VM that is not in the list.
func (k *Reconciler) decideOne(now time.Time, listed fleet.VMState, record Record) (Write, bool) {
	marked := record.PlatformState == fleet.VMLeaving
	switch {
	case listed == fleet.VMLeaving && !marked:
		delete(k.doubts, record.Control)
		record.PlatformState = fleet.VMLeaving
		return Write{Record: record}, true
	case listed == fleet.VMLive && marked:
		record.PlatformState = fleet.VMLive
		return Write{Record: record}, k.settled(now, record, settleTime)
	case listed == "":
		wait := newNodeGrace
		if k.seen[record.VM] {
			wait = settleTime
		}
		return Write{Record: record, Remove: true}, k.settled(now, record, wait)
	default:
		delete(k.doubts, record.Control)
		return Write{}, false
	}
}

// settled tells whether the list and this version of the record have differed
// for the time. A record that was written again starts anew.
func (k *Reconciler) settled(now time.Time, record Record, wait time.Duration) bool {
	known, ok := k.doubts[record.Control]
	if !ok || known.version != record.Version {
		k.doubts[record.Control] = doubt{since: now, version: record.Version}
		return false
	}
	return now.Sub(known.since) >= wait
}

// forget drops what is held of records and VMs that are gone.
func (k *Reconciler) forget(states map[string]fleet.VMState, records []Record) {
	nodes := make(map[fleet.Address]bool, len(records))
	vms := make(map[string]bool, len(records))
	for _, record := range records {
		nodes[record.Control] = true
		vms[record.VM] = true
	}
	maps.DeleteFunc(k.doubts, func(control fleet.Address, _ doubt) bool { return !nodes[control] })
	maps.DeleteFunc(k.seen, func(vm string, _ bool) bool { return !vms[vm] && states[vm] == "" })
}
