package peering

import (
	"math"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// tokensPerLoadUnit is the resolution of loads in heartbeats. It is far below any prompt
// that matters, and most values then fit into two bytes.
const tokensPerLoadUnit = 16

func encodeLoads(loads map[uint32]gate.BackendLoad) *peeringpb.Loads {
	encoded := &peeringpb.Loads{}
	for backend, load := range loads {
		encoded.Backend = append(encoded.Backend, backend)
		encoded.Running = append(encoded.Running, uint32(max(load.Running, 0)))
		encoded.Pending = append(encoded.Pending, toLoadUnits(load.Pending))
		encoded.Memory = append(encoded.Memory, toLoadUnits(load.Memory))
	}
	return encoded
}

// toLoadUnits rounds up so that a small load does not become zero.
func toLoadUnits(tokens float64) uint32 {
	return uint32(math.Ceil(min(max(tokens, 0)/tokensPerLoadUnit, math.MaxUint32)))
}

// decodeLoads decodes as many entries as all lists have.
func decodeLoads(encoded *peeringpb.Loads) map[uint32]gate.BackendLoad {
	count := min(len(encoded.GetBackend()), len(encoded.GetRunning()), len(encoded.GetPending()), len(encoded.GetMemory()))
	loads := make(map[uint32]gate.BackendLoad, count)
	for i := range count {
		loads[encoded.Backend[i]] = gate.BackendLoad{
			Running: int(encoded.Running[i]),
			Pending: float64(encoded.Pending[i]) * tokensPerLoadUnit,
			Memory:  float64(encoded.Memory[i]) * tokensPerLoadUnit,
		}
	}
	return loads
}

func encodeUsages(usages map[fleet.Account]shares.Usage) *peeringpb.AccountUses {
	encoded := &peeringpb.AccountUses{}
	for account, usage := range usages {
		encoded.Account = append(encoded.Account, string(account))
		encoded.Asked = append(encoded.Asked, uint64(max(usage.Requested, 0)))
		encoded.Got = append(encoded.Got, uint64(max(usage.Granted, 0)))
		encoded.Idle = append(encoded.Idle, uint64(max(usage.Idle, 0)))
	}
	return encoded
}

// decodeUsages decodes as many entries as all lists have.
func decodeUsages(encoded *peeringpb.AccountUses) map[fleet.Account]shares.Usage {
	count := min(len(encoded.GetAccount()), len(encoded.GetAsked()), len(encoded.GetGot()), len(encoded.GetIdle()))
	usages := make(map[fleet.Account]shares.Usage, count)
	for i := range count {
		usages[fleet.Account(encoded.Account[i])] = shares.Usage{
			Requested: float64(encoded.Asked[i]),
			Granted:   float64(encoded.Got[i]),
			Idle:      float64(encoded.Idle[i]),
		}
	}
	return usages
}

// accountUsageReport returns the tokens requested by and granted to each account, for
// operators.
func accountUsageReport(usages map[fleet.Account]shares.Usage) []*peeringpb.AccountUse {
	report := make([]*peeringpb.AccountUse, 0, len(usages))
	for account, usage := range usages {
		report = append(report, &peeringpb.AccountUse{Account: string(account), Asked: float32(usage.Requested), Got: float32(usage.Granted)})
	}
	return report
}

// echoedClock returns the newest clock of the router that the heartbeat's sender has
// received, 0 if the heartbeat does not echo it.
func echoedClock(heartbeat *peeringpb.Beat, router fleet.Address) int64 {
	hash := addressHash(router)
	routers, clocks := heartbeat.Echoes.GetRouter(), heartbeat.Echoes.GetClock()
	for i := range min(len(routers), len(clocks)) {
		if routers[i] == hash {
			return clocks[i]
		}
	}
	return 0
}
