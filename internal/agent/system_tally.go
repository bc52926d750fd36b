package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// jitterParts divides a report interval into the steps of its jitter.
const jitterParts = 16

// tally is the state of this agent's reports to the homes of its service.
type tally struct {
	homes  []fleet.Node
	byName map[fleet.Account]fleet.Address // home of an account, filled on demand
	next   time.Time
	round  uint64
}

// applyHomes chooses the homes anew after a change of the fleet.
func (w *World) applyHomes() {
	agents := w.members.Usable(w.members.Agents(w.self.Service))
	homes := membership.Homes(w.self.Service, agents, max(1, w.policy.Homes))
	for _, old := range w.tally.homes {
		if !membership.Contains(homes, old.Control) {
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
	home, _ := membership.HomeOf(w.self.Service, name, w.tally.homes)
	w.tally.byName[name] = home.Control
	return home.Control
}

// reportCharges sends each home the cumulative charges of its accounts once in
// a report interval. A report that is lost is made good by the next. Intervals
// differ a little, so that the agents' reports do not come all at once.
func (w *World) reportCharges(now time.Time) {
	if w.shares.ReportInterval <= 0 || now.Before(w.tally.next) {
		return
	}
	w.tally.round++
	w.tally.next = now.Add(w.shares.ReportInterval + w.jitter())
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
		message := w.names.EncodeReport(report)
		message.Service = string(w.self.Service)
		w.emit(SendReport{Home: home.Control, Report: message})
	}
}

// jitter is a part of the report interval that differs from round to round
// and from agent to agent, without a source of random numbers.
func (w *World) jitter() time.Duration {
	step := (w.self.Incarnation + w.tally.round*7) % jitterParts
	return w.shares.ReportInterval / jitterParts * time.Duration(step) / jitterParts
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
	if fleet.Service(in.Report.Service) != w.self.Service {
		w.reply(in.Ticket, Totals{Reply: &rpc.ReportReply{}})
		return
	}
	report := w.names.DecodeReport(in.Report)
	report.Agent = in.Agent
	report.Incarnation = in.Incarnation
	w.reply(in.Ticket, Totals{Reply: w.names.EncodeReply(in.Report, w.home.Take(now, report))})
}

// takeReportAnswered takes the totals of a home.
func (w *World) takeReportAnswered(in ReportAnswered) {
	if in.Reply == nil {
		return
	}
	home := fairshare.HomeID{Address: in.Home, Incarnation: in.Incarnation}
	w.clocks.Learn(home, in.Report.Sequence, w.names.DecodeReply(in.Report, in.Reply))
}

// applyShares brings the tally in line with the settings and the number of
// agents, which may make its reports rarer.
func (w *World) applyShares() {
	agents := len(membership.Live(w.members.Agents(w.self.Service)))
	w.shares = fairshare.ConfigOf(w.policy).ForAgents(agents)
	w.clocks.ApplyConfig(w.shares)
	w.home.ApplyConfig(w.shares)
	w.applyHomes()
}
