package fairshare

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// Units counts service in the cost units of a service's policy. A clock is
// counted in units per weight.
type Units float64

// Config is the part of a service's policy that the package needs.
type Config struct {
	Share          settings.SharePolicy
	Window         Units         // repayment window of an account of mean weight; 0 is no window
	ReportInterval time.Duration // between two reports of an agent
}

// ConfigOf takes the package's settings from a service's policy.
func ConfigOf(policy settings.ServicePolicy) Config {
	return Config{
		Share:          policy.Share,
		Window:         Units(policy.RepaymentWindow),
		ReportInterval: policy.ReportInterval,
	}
}

// maxReportRate is the number of reports that a home takes in a second. At some
// 200 bytes for a report with its reply, it keeps the tally of one service
// within 12 KB/s at a home, however many agents the service has.
const maxReportRate = 60

// ForAgents returns the settings of a service with a number of agents. The
// report interval of a service with many agents is longer than is set.
func (c Config) ForAgents(agents int) Config {
	least := time.Duration(agents) * time.Second / maxReportRate
	if c.ReportInterval > 0 {
		c.ReportInterval = max(c.ReportInterval, least)
	}
	return c
}

// Charge is what one agent reports of one account. Total and InFlight replace
// what the agent reported before, so that a report lost or doubled does no harm.
type Charge struct {
	Account  fleet.Account
	Total    Units // given since the agent's incarnation began
	InFlight Units // expected soon from the requests that run now
	Waiting  bool  // the agent holds offers of the account

	// Known is the clock that the agent believes in. It is set only while the
	// account's home has not yet answered with a clock, so that a new home
	// can go on where the old one ended. 0 is unknown.
	Known Units
}

// Report is what an agent sends to one home.
type Report struct {
	Agent       fleet.Address
	Incarnation uint64
	Sequence    uint64 // grows with each report of the incarnation, to whichever home
	VirtualTime Units  // of the service, as the agent knows it
	Charges     []Charge
}

// Total is what a home answers for one account.
type Total struct {
	Account fleet.Account
	Clock   Units // of the account in the fleet, with what is in flight
	Agents  int   // n(a): agents that serve the account or hold its offers
	Place   int   // number of the reporting agent among them, from 0
}

// Reply answers a report. It names only accounts of the report; one that is
// left out has no clock yet, because its home is being refilled.
type Reply struct {
	Totals      []Total
	VirtualTime Units // mean clock of the home's waiting accounts; 0 is unknown
}

// HomeID tells one process that serves as home from the next at its address.
type HomeID struct {
	Address     fleet.Address
	Incarnation uint64
}

// Hint is what a request says about its own cost, in cost units.
type Hint struct {
	Prompt Units // known before the run: prompt tokens times their cost
	Output Units // the most that the answer may cost; 0 is unknown
}
