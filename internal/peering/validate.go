package peering

import (
	"slices"

	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// Any sender may reach the port, and a router hands names on in its own heartbeats. One that is too
// long would make those larger than a datagram: they would not arrive, and no router would hear of
// another.
const (
	maxNameBytes    = 256     // of an address or an availability zone
	maxAccountBytes = 4 << 10 // of the name of a client account
)

// validNames reports whether no name in the message is too long.
func validNames(message *peeringpb.Beat) bool {
	names := slices.Concat(
		[]string{message.Address, message.Zone}, message.Routers,
		message.Evacuations.GetZones(), message.Evacuations.GetReturned(), message.Sums.GetZones(), message.SumChanges.GetZones(),
	)
	accounts := slices.Concat(message.Uses.GetAccount(), message.Sums.GetUses().GetAccount(), message.SumChanges.GetAccount())
	return !anyLonger(names, maxNameBytes) && !anyLonger(accounts, maxAccountBytes)
}

func anyLonger(texts []string, maxBytes int) bool {
	return slices.ContainsFunc(texts, func(text string) bool { return len(text) > maxBytes })
}
