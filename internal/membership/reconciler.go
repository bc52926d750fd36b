package membership

import (
	"maps"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

const (
	// confirmationTime is how long the list must keep showing a leaving VM as
	// live again, or a VM as gone, before the reconciler acts on it. A stale
	// read briefly returns an older list; acting on it would send work to a
	// leaving server or remove nodes that have just started.
	confirmationTime = 5 * time.Second
	// newNodeGrace is how long a node's VM may be missing from the list if no
	// list has ever contained it. The list lags behind new VMs.
	newNodeGrace = 30 * time.Second
	// maxRemovals limits the records removed per list. A list that is
	// wrongly empty would otherwise remove the whole fleet; with the limit it
	// removes a few nodes, which register again.
	maxRemovals = 5
)

// Write is a conditional change of a node's record that the reconciler
// requests.
type Write struct {
	Record Record // the write fails unless the platform still has its Version
	Remove bool   // remove the record instead of writing it
}

// Reconciler transfers the platform's list of VMs to the nodes' records, so
// that a single lagging list becomes versioned changes that spread like all
// others. Its writes are conditional on the record's version: a node that
// registers again in the meantime takes precedence over the older list. A
// Reconciler is not safe for concurrent use and reads no clock.
type Reconciler struct {
	seen          map[string]bool               // names of VMs that any list has contained
	discrepancies map[fleet.Address]discrepancy // by control address of the node
}

// discrepancy is a difference between the list and one version of a record.
type discrepancy struct {
	since   time.Time
	version platform.Version
}

// NewReconciler returns a reconciler that has not seen a list yet.
func NewReconciler() *Reconciler {
	return &Reconciler{seen: make(map[string]bool), discrepancies: make(map[fleet.Address]discrepancy)}
}

// Reconcile compares the list, as just read, with the records and returns the
// writes that bring the records in line with it.
func (r *Reconciler) Reconcile(now time.Time, vms []platform.VM, records []Record) []Write {
	vmStates := make(map[string]fleet.VMState, len(vms))
	for _, vm := range vms {
		vmStates[vm.Name] = vm.State
		r.seen[vm.Name] = true
	}
	r.prune(vmStates, records)
	var writes []Write
	removals := 0
	for _, record := range records {
		write, due := r.reconcileRecord(now, vmStates[record.VM], record)
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

// reconcileRecord compares a record with the state of its VM in the list, which
// is empty for a VM that is not listed. It returns a write and whether the write
// is due now.
func (r *Reconciler) reconcileRecord(now time.Time, listed fleet.VMState, record Record) (Write, bool) {
	markedLeaving := record.PlatformState == fleet.VMLeaving
	switch {
	case listed == fleet.VMLeaving && !markedLeaving:
		delete(r.discrepancies, record.Control)
		record.PlatformState = fleet.VMLeaving
		return Write{Record: record}, true
	case listed == fleet.VMLive && markedLeaving:
		record.PlatformState = fleet.VMLive
		return Write{Record: record}, r.discrepancyPersisted(now, record, confirmationTime)
	case listed == "":
		wait := newNodeGrace
		if r.seen[record.VM] {
			wait = confirmationTime
		}
		return Write{Record: record, Remove: true}, r.discrepancyPersisted(now, record, wait)
	default:
		delete(r.discrepancies, record.Control)
		return Write{}, false
	}
}

// discrepancyPersisted reports whether the list and this version of the record
// have differed for at least wait. A new version of the record restarts the
// time.
func (r *Reconciler) discrepancyPersisted(now time.Time, record Record, wait time.Duration) bool {
	known, ok := r.discrepancies[record.Control]
	if !ok || known.version != record.Version {
		r.discrepancies[record.Control] = discrepancy{since: now, version: record.Version}
		return false
	}
	return now.Sub(known.since) >= wait
}

// prune removes the state of records and VMs that no longer exist.
func (r *Reconciler) prune(vmStates map[string]fleet.VMState, records []Record) {
	nodes := make(map[fleet.Address]bool, len(records))
	vms := make(map[string]bool, len(records))
	for _, record := range records {
		nodes[record.Control] = true
		vms[record.VM] = true
	}
	maps.DeleteFunc(r.discrepancies, func(control fleet.Address, _ discrepancy) bool { return !nodes[control] })
	maps.DeleteFunc(r.seen, func(vm string, _ bool) bool { return !vms[vm] && vmStates[vm] == "" })
}
