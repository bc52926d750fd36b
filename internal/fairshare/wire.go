package fairshare

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// clockScale is the factor by which clocks are multiplied before they are
// rounded to whole numbers in messages.
const clockScale = 8

// Names finds the accounts that messages give by a hash of their name. A name
// has some thirty bytes and goes both ways once a second for each account and
// agent; it would be most of the tally's traffic.
type Names struct {
	accounts map[uint32]fleet.Account
	clashing map[fleet.Account]bool // not to be told from another by the hash
}

// NewNames returns the names of the accounts in the settings.
func NewNames(accounts []fleet.Account) *Names {
	n := &Names{accounts: make(map[uint32]fleet.Account), clashing: make(map[fleet.Account]bool)}
	for _, name := range accounts {
		hash := accountHash(name)
		other, taken := n.accounts[hash]
		if taken && other != name {
			n.clashing[name], n.clashing[other] = true, true
		}
		n.accounts[hash] = name
	}
	return n
}

// AccountHash is the hash by which messages name an account.
func AccountHash(name fleet.Account) uint32 { return accountHash(name) }

func accountHash(name fleet.Account) uint32 { return uint32(xxhash.Sum64String(string(name))) }

// hashable tells whether the hash alone names the account at both ends.
func (n *Names) hashable(name fleet.Account) bool {
	return n.accounts[accountHash(name)] != "" && !n.clashing[name]
}

// Hash returns the hash that names an account in messages, or 0 when only its
// name can tell it.
func (n *Names) Hash(name fleet.Account) uint32 {
	if !n.hashable(name) {
		return 0
	}
	return accountHash(name)
}

// EncodeReport writes a report into a message. The caller adds the envelope
// and the service.
func (n *Names) EncodeReport(report Report) *rpc.ReportRequest {
	message := &rpc.ReportRequest{Sequence: report.Sequence, VirtualTime: float64(report.VirtualTime)}
	for _, charge := range report.Charges {
		if !n.hashable(charge.Account) {
			message.Charges = append(message.Charges, encodeCharge(charge))
			continue
		}
		message.Accounts = append(message.Accounts, accountHash(charge.Account))
		message.Totals = append(message.Totals, whole(charge.Total))
		message.InFlight = append(message.InFlight, encodeInFlight(charge))
		if charge.Known > 0 {
			message.KnownAt = append(message.KnownAt, uint32(len(message.Accounts)-1))
			message.Known = append(message.Known, encodeClock(charge.Known))
		}
	}
	return message
}

// DecodeReport reads a report from a message; the caller says who sent it. It
// leaves out accounts that are not in the settings here yet: they will be
// reported again.
func (n *Names) DecodeReport(message *rpc.ReportRequest) Report {
	report := Report{Sequence: message.Sequence, VirtualTime: Units(message.VirtualTime)}
	known := make(map[int]Units, len(message.KnownAt))
	for i, at := range message.KnownAt {
		if i < len(message.Known) {
			known[int(at)] = decodeClock(message.Known[i])
		}
	}
	for i, hash := range message.Accounts {
		name, ok := n.accounts[hash]
		if !ok || n.clashing[name] || i >= len(message.Totals) || i >= len(message.InFlight) {
			continue
		}
		report.Charges = append(report.Charges, Charge{
			Account:  name,
			Total:    Units(message.Totals[i]),
			InFlight: Units(message.InFlight[i] / 2),
			Waiting:  message.InFlight[i]%2 == 1,
			Known:    known[i],
		})
	}
	for _, charge := range message.Charges {
		report.Charges = append(report.Charges, decodeCharge(charge))
	}
	return report
}

// EncodeReply writes a reply into a message, in the order of the request's
// accounts. The caller adds the envelope.
func (n *Names) EncodeReply(request *rpc.ReportRequest, reply Reply) *rpc.ReportReply {
	message := &rpc.ReportReply{VirtualTime: float64(reply.VirtualTime)}
	byHash := make(map[uint32]Total, len(reply.Totals))
	for _, total := range reply.Totals {
		if n.hashable(total.Account) {
			byHash[accountHash(total.Account)] = total
		}
	}
	for _, hash := range request.Accounts {
		total := byHash[hash]
		message.Clocks = append(message.Clocks, encodeClock(total.Clock))
		message.Agents = append(message.Agents, uint32(total.Agents))
		message.Places = append(message.Places, uint32(total.Place))
	}
	for _, total := range reply.Totals {
		if !n.hashable(total.Account) {
			message.Totals = append(message.Totals, &rpc.AccountTotal{
				Account: string(total.Account),
				Total:   encodeClock(total.Clock),
				Agents:  uint32(total.Agents),
				Place:   uint32(total.Place),
			})
		}
	}
	return message
}

// DecodeReply reads the reply to a request. An account with no agents has no
// clock yet.
func (n *Names) DecodeReply(request *rpc.ReportRequest, message *rpc.ReportReply) Reply {
	reply := Reply{VirtualTime: Units(message.VirtualTime)}
	answers := min(len(message.Clocks), len(message.Agents), len(message.Places))
	for i, hash := range request.Accounts {
		name, ok := n.accounts[hash]
		if !ok || i >= answers || !answered(message.Clocks[i], message.Agents[i]) {
			continue
		}
		reply.Totals = append(reply.Totals, Total{
			Account: name,
			Clock:   decodeClock(message.Clocks[i]),
			Agents:  int(message.Agents[i]),
			Place:   int(message.Places[i]),
		})
	}
	for _, total := range message.Totals {
		reply.Totals = append(reply.Totals, Total{
			Account: fleet.Account(total.Account),
			Clock:   decodeClock(total.Total),
			Agents:  int(total.Agents),
			Place:   int(total.Place),
		})
	}
	return reply
}

// answered tells whether a home gave a clock. An account of which nothing was
// ever charged and which nobody serves needs none.
func answered(clock uint64, agents uint32) bool { return clock > 0 || agents > 0 }

func encodeCharge(charge Charge) *rpc.Charge {
	message := &rpc.Charge{
		Account:  string(charge.Account),
		Total:    whole(charge.Total),
		InFlight: whole(charge.InFlight),
		Known:    encodeClock(charge.Known),
	}
	if charge.Waiting {
		message.Offered = 1
	}
	return message
}

func decodeCharge(message *rpc.Charge) Charge {
	return Charge{
		Account:  fleet.Account(message.Account),
		Total:    Units(message.Total),
		InFlight: Units(message.InFlight),
		Waiting:  message.Offered > 0,
		Known:    decodeClock(message.Known),
	}
}

// encodeInFlight puts the flag of waiting offers into the lowest bit.
func encodeInFlight(charge Charge) uint64 {
	encoded := whole(charge.InFlight) * 2
	if charge.Waiting {
		encoded++
	}
	return encoded
}

func encodeClock(clock Units) uint64   { return whole(clock * clockScale) }
func decodeClock(encoded uint64) Units { return Units(encoded) / clockScale }

// whole rounds to a whole number that is not negative.
func whole(units Units) uint64 { return uint64(max(0, math.Round(float64(units)))) }
