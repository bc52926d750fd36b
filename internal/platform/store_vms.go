package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// NodePrefix is the prefix of the objects by which nodes register; their data
// is a fleet.Node in JSON.
const NodePrefix = "nodes/"

// VMGone is the state that removes a VM from the list.
const VMGone fleet.VMState = "gone"

// vmChange is one change of the list of VMs and the time at which it happened.
type vmChange struct {
	vm VM
	at time.Time
}

// vmList is the list of VMs. A change becomes visible only after the lag.
type vmList struct {
	lag     time.Duration
	changes []vmChange
}

// visibleAt returns the list that is visible at a time, ordered by name.
func (l *vmList) visibleAt(now time.Time) []VM {
	visible := make(map[string]VM)
	for _, change := range l.changes {
		if change.at.Add(l.lag).After(now) {
			continue
		}
		if change.vm.State == VMGone {
			delete(visible, change.vm.Name)
			continue
		}
		visible[change.vm.Name] = change.vm
	}
	vms := make([]VM, 0, len(visible))
	for _, vm := range visible {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

// currentState returns the actual state of a VM, or VMGone if there is none.
func (l *vmList) currentState(name string) fleet.VMState {
	for _, change := range slices.Backward(l.changes) {
		if change.vm.Name == name {
			return change.vm.State
		}
	}
	return VMGone
}

// SetVM sets the actual state of a VM; VMGone removes it. The change is visible
// in the list after the lag.
func (s *Store) SetVM(vm VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.changes = append(s.vms.changes, vmChange{vm: vm, at: s.now()})
}

// SetVMLag sets the time after which a change is visible in the list of VMs.
func (s *Store) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.lag = lag
}

// VMs implements API.
func (s *Store) VMs(ctx context.Context) ([]VM, error) {
	if err := s.admit(ctx, CallVMs); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleSnapshot != nil {
		return slices.Clone(s.staleSnapshot.vms), nil
	}
	return s.vms.visibleAt(s.now()), nil
}

// addVMOfNode adds the VM of a written node object to the list as live, without
// the lag, if NodesMakeVMs is set and the VM does not exist yet. The caller
// holds the lock.
func (s *Store) addVMOfNode(object Object) {
	if !s.options.NodesMakeVMs || !hasNodePrefix(object.Key) {
		return
	}
	var node fleet.Node
	if err := json.Unmarshal(object.Data, &node); err != nil || node.VM == "" {
		return
	}
	if s.vms.currentState(node.VM) != VMGone {
		return
	}
	vm := VM{Name: node.VM, Zone: node.Zone, State: fleet.VMLive}
	s.vms.changes = append(s.vms.changes, vmChange{vm: vm, at: s.now().Add(-s.vms.lag)})
}

func hasNodePrefix(key string) bool {
	return len(key) > len(NodePrefix) && key[:len(NodePrefix)] == NodePrefix
}

// VMLag returns the time after which a change is visible in the list of VMs.
func (s *Store) VMLag() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms.lag
}
