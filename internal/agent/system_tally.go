package agent

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Prefixes of the keys by which homes are chosen.
const (
	homeKeyPrefix = "home/"
	// jitterParts divides a report interval into the steps of its jitter.
	jitterParts = 16
)

// tally is the state of this agent's reports to the homes of its service.
type tally struct {
	homes  []fleet.Node
	byName map[fleet.Account]fleet.Address // home of an account, filled on demand
	next   time.Time
	round  uint64
}

// applyHomes chooses the homes anew after a change of the fleet.
func (w *World) applyHomes() {
	ranked := membership.Rank(homeKeyPrefix+string(w.self.Service), w.members.Usable(w.members.Agents(w.self.Service)))
	homes := lo.Subset(ranked, 0, uint(max(1, w.policy.Homes)))
	for _, old := range w.tally.homes {
		gone := !slices.ContainsFunc(homes, func(n fleet.Node) bool { return n.Control == old.Control })
		if gone {
			w.clocks.ForgetHome(old.Control)
		}
	}
	w.tally.homes = homes
	w.tally.byName = make(map[fleet.Account]fleet.Address)
}

// homeOf is the agent that adds up the charges of an account.
func (w *World) homeOf(name fleet.Account) fleet.Address {
	if home, ok := w.tally.byName[name]; ok {
		return home
	}
	key := homeKeyPrefix + string(w.self.Service) + "/" + string(name)
	home := membership.Rank(key, w.tally.homes)[0].Control
	w.tally.byName[name] = home
	return home
}

// reportCharges sends each home the cumulative charges of its accounts once in
// a report interval. A report that is lost is made good by the next. Intervals
// differ a little, so that the agents' reports do not come all at once.
func (w *World) reportCharges(now time.Time) {
	if w.policy.ReportInterval <= 0 || now.Before(w.tally.next) {
		return
	}
	w.tally.round++
	w.tally.next = now.Add(w.policy.ReportInterval + w.jitter())
	w.chargeElapsed(now)
	w.clocks.Advance(now)
	if w.policy.Share != settings.ShareFleet || len(w.tally.homes) == 0 {
		return
	}
	w.home.Forget(now)
	for _, home := range w.tally.homes {
		report := w.clocks.Charges(home.Control, func(name fleet.Account) bool {
			return w.homeOf(name) == home.Control
		})
		if len(report.Charges) == 0 {
			continue
		}
		if home.Control == w.self.Control {
			w.reportToSelf(now, report)
			continue
		}
		w.emit(SendReport{
			Home:        home.Control,
			Sequence:    report.Sequence,
			VirtualTime: float64(report.VirtualTime),
			Charges:     chargeMessages(report.Charges),
		})
	}
}

// jitter is a part of the report interval that differs from round to round
// and from agent to agent, without a source of random numbers.
func (w *World) jitter() time.Duration {
	step := (w.self.Incarnation + w.tally.round*7) % jitterParts
	return w.policy.ReportInterval / jitterParts * time.Duration(step) / jitterParts
}

// reportToSelf serves the agent's own report when it is a home itself.
func (w *World) reportToSelf(now time.Time, report fairshare.Report) {
	report.Agent = w.self.Control
	report.Incarnation = w.self.Incarnation
	reply := w.home.Take(now, report)
	w.clocks.Learn(fairshare.HomeID{Address: w.self.Control, Incarnation: w.self.Incarnation}, report.Sequence, reply)
}

// takeReported adds the report of another agent and answers with the totals.
func (w *World) takeReported(now time.Time, in Reported) {
	if in.Service != w.self.Service {
		w.reply(in.Ticket, Totals{Reply: &rpc.ReportReply{}})
		return
	}
	reply := w.home.Take(now, fairshare.Report{
		Agent:       in.Agent,
		Incarnation: in.Incarnation,
		Sequence:    in.Sequence,
		VirtualTime: fairshare.Units(in.VirtualTime),
		Charges:     chargesOf(in.Charges),
	})
	w.reply(in.Ticket, Totals{Reply: totalsMessage(reply)})
}

// takeReportAnswered takes the totals of a home.
func (w *World) takeReportAnswered(in ReportAnswered) {
	if in.Reply == nil {
		return
	}
	reply := fairshare.Reply{VirtualTime: fairshare.Units(in.Reply.VirtualTime)}
	for _, total := range in.Reply.Totals {
		reply.Totals = append(reply.Totals, fairshare.Total{
			Account: fleet.Account(total.Account),
			Clock:   fairshare.Units(total.Total),
			Agents:  int(total.Agents),
		})
	}
	w.clocks.Learn(fairshare.HomeID{Address: in.Home, Incarnation: in.Incarnation}, in.Sequence, reply)
}

func totalsMessage(reply fairshare.Reply) *rpc.ReportReply {
	message := &rpc.ReportReply{VirtualTime: float64(reply.VirtualTime)}
	for _, total := range reply.Totals {
		message.Totals = append(message.Totals, &rpc.AccountTotal{
			Account: string(total.Account),
			Total:   uint64(max(0, total.Clock)),
			Agents:  uint32(total.Agents),
		})
	}
	return message
}

func chargeMessages(charges []fairshare.Charge) []*rpc.Charge {
	return lo.Map(charges, func(charge fairshare.Charge, _ int) *rpc.Charge {
		return &rpc.Charge{
			Account:  string(charge.Account),
			Total:    uint64(charge.Total),
			InFlight: uint64(max(0, charge.InFlight)),
			Offered:  lo.Ternary[uint32](charge.Waiting, 1, 0),
			Known:    uint64(max(0, charge.Known)),
		}
	})
}

func chargesOf(messages []*rpc.Charge) []fairshare.Charge {
	return lo.Map(messages, func(message *rpc.Charge, _ int) fairshare.Charge {
		return fairshare.Charge{
			Account:  fleet.Account(message.Account),
			Total:    fairshare.Units(message.Total),
			InFlight: fairshare.Units(message.InFlight),
			Waiting:  message.Offered > 0,
			Known:    fairshare.Units(message.Known),
		}
	})
}
