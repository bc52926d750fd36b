package peering

import (
	"math"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// loadUnit is the tokens that a unit of load stands for in beats: far less than
// any prompt that matters, and most values then fit into two bytes.
const loadUnit = 16

func encodeLoads(loads map[uint32]gate.BackendLoad) *peeringpb.Loads {
	encoded := &peeringpb.Loads{}
	for backend, load := range loads {
		encoded.Backend = append(encoded.Backend, backend)
		encoded.Running = append(encoded.Running, uint32(max(load.Running, 0)))
		encoded.Pending = append(encoded.Pending, loadUnits(load.Pending))
		encoded.Memory = append(encoded.Memory, loadUnits(load.Memory))
	}
	return encoded
}

// loadUnits rounds up, so that a load does not vanish.
func loadUnits(tokens float64) uint32 {
	return uint32(math.Ceil(min(max(tokens, 0)/loadUnit, math.MaxUint32)))
}

// decodeLoads reads as many entries as all lists have.
func decodeLoads(encoded *peeringpb.Loads) map[uint32]gate.BackendLoad {
	count := min(len(encoded.GetBackend()), len(encoded.GetRunning()), len(encoded.GetPending()), len(encoded.GetMemory()))
	loads := make(map[uint32]gate.BackendLoad, count)
	for i := range count {
		loads[encoded.Backend[i]] = gate.BackendLoad{
			Running: int(encoded.Running[i]),
			Pending: float64(encoded.Pending[i]) * loadUnit,
			Memory:  float64(encoded.Memory[i]) * loadUnit,
		}
	}
	return loads
}

func encodeUses(uses map[fleet.Account]shares.Usage) *peeringpb.AccountUses {
	encoded := &peeringpb.AccountUses{}
	for account, use := range uses {
		encoded.Account = append(encoded.Account, string(account))
		encoded.Asked = append(encoded.Asked, uint64(max(use.Requested, 0)))
		encoded.Got = append(encoded.Got, uint64(max(use.Granted, 0)))
		encoded.Idle = append(encoded.Idle, uint64(max(use.Idle, 0)))
	}
	return encoded
}

// decodeUses reads as many entries as all lists have.
func decodeUses(encoded *peeringpb.AccountUses) map[fleet.Account]shares.Usage {
	count := min(len(encoded.GetAccount()), len(encoded.GetAsked()), len(encoded.GetGot()), len(encoded.GetIdle()))
	uses := make(map[fleet.Account]shares.Usage, count)
	for i := range count {
		uses[fleet.Account(encoded.Account[i])] = shares.Usage{
			Requested: float64(encoded.Asked[i]),
			Granted:   float64(encoded.Got[i]),
			Idle:      float64(encoded.Idle[i]),
		}
	}
	return uses
}

// reportUses tells operators what accounts asked and got.
func reportUses(uses map[fleet.Account]shares.Usage) []*peeringpb.AccountUse {
	report := make([]*peeringpb.AccountUse, 0, len(uses))
	for account, use := range uses {
		report = append(report, &peeringpb.AccountUse{Account: string(account), Asked: float32(use.Requested), Got: float32(use.Granted)})
	}
	return report
}

// echoIn returns the clock of the router that the beat echoes, 0 for none.
func echoIn(beat *peeringpb.Beat, router fleet.Address) int64 {
	hash := hashOf(router)
	routers, clocks := beat.Echoes.GetRouter(), beat.Echoes.GetClock()
	for i := range min(len(routers), len(clocks)) {
		if routers[i] == hash {
			return clocks[i]
		}
	}
	return 0
}
