package platform

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// The paths of the admin interface, which exists for tests only.
const (
	pathAdminCounts = "/admin/counts"
	pathAdminFaults = "/admin/faults"
	pathAdminVM     = "/admin/vms/" // followed by the VM's name
)

// FaultSwitches is the JSON form of Faults and the lag of the list of VMs in
// the admin interface.
type FaultSwitches struct {
	Down        bool  `json:"down"`
	DelayMillis int64 `json:"delay_ms"`
	LoseReplies int   `json:"lose_replies"` // -1 loses all
	Stale       bool  `json:"stale"`
	VMLagMillis int64 `json:"vm_lag_ms"`
}

// VMSwitch is the JSON form of a VM's state in the admin interface.
type VMSwitch struct {
	Zone  fleet.Zone    `json:"zone"`
	State fleet.VMState `json:"state"` // live, leaving or gone
}

func (s *Server) handleAdmin(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	method := string(ctx.Method())
	switch {
	case path == pathAdminCounts && method == fasthttp.MethodGet:
		writeJSON(ctx, s.store.Counts())
	case path == pathAdminFaults && method == fasthttp.MethodGet:
		writeJSON(ctx, s.switches())
	case path == pathAdminFaults && method == fasthttp.MethodPut:
		s.putSwitches(ctx)
	case strings.HasPrefix(path, pathAdminVM) && method == fasthttp.MethodPut:
		s.putVM(ctx, strings.TrimPrefix(path, pathAdminVM))
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (s *Server) switches() FaultSwitches {
	faults := s.store.Faults()
	return FaultSwitches{
		Down:        faults.Down,
		DelayMillis: faults.Delay.Milliseconds(),
		LoseReplies: faults.LoseReplies,
		Stale:       faults.Stale,
		VMLagMillis: s.store.VMLag().Milliseconds(),
	}
}

// putSwitches changes the switches named in the body and leaves the others
// unchanged.
func (s *Server) putSwitches(ctx *fasthttp.RequestCtx) {
	switches := s.switches()
	if !readJSON(ctx, &switches) {
		return
	}
	s.store.SetVMLag(time.Duration(switches.VMLagMillis) * time.Millisecond)
	s.store.SetFaults(Faults{
		Down:        switches.Down,
		Delay:       time.Duration(switches.DelayMillis) * time.Millisecond,
		LoseReplies: switches.LoseReplies,
		Stale:       switches.Stale,
	})
}

func (s *Server) putVM(ctx *fasthttp.RequestCtx, name string) {
	var vm VMSwitch
	if !readJSON(ctx, &vm) {
		return
	}
	switch vm.State {
	case fleet.VMLive, fleet.VMLeaving, VMGone:
		s.store.SetVM(VM{Name: name, Zone: vm.Zone, State: vm.State})
	default:
		ctx.Error("state must be live, leaving or gone", fasthttp.StatusBadRequest)
	}
}

func readJSON(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
