package gate

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// Config is the configuration file of a router.
type Config struct {
	Node      NodeSection       `section:"node" doc:"This process and the VM that it runs on."`
	Listen    ListenSection     `section:"listen" doc:"Addresses of this process."`
	Store     StoreSection      `section:"store" doc:"The platform's store."`
	Peers     PeersSection      `section:"peers" doc:"Other routers to ask at the start."`
	VM        VMSection         `section:"vm" doc:"What the VM gives to this process."`
	Bounds    BoundsSection     `section:"bounds" doc:"What the users have agreed on."`
	Admission AdmissionSection  `section:"admission" doc:"What is sent to model engines."`
	Engines   EnginesSection    `section:"engines" doc:"What is made of how fast each backend server works."`
	Plain     PlainSection      `section:"plain" doc:"What is sent to plain services."`
	Log       daemon.LogSection `section:"log" doc:"Log records on standard output."`
}

// NodeSection identifies the router and its VM.
type NodeSection struct {
	Name string     `key:"name" required:"true" doc:"Name of the VM."`
	Zone fleet.Zone `key:"zone" required:"true" doc:"Availability zone."`
	// NewFleet skips the initial listing of the store by each router, and delays the start
	// by some seconds.
	NewFleet bool `key:"new_fleet" default:"false" doc:"The whole fleet starts for the first time, so that no callers are there yet."`
}

// ListenSection holds the addresses on which a router listens.
type ListenSection struct {
	Callers       fleet.Address `key:"callers" required:"true" doc:"Callers' interface."`
	Readiness     fleet.Address `key:"readiness" required:"true" doc:"Readiness for the balancer."`
	ReadinessPath string        `key:"readiness_path" default:"/readyz" doc:"Path at which the balancer asks for readiness."`
	Peers         fleet.Address `key:"peers" required:"true" doc:"Port for other routers, datagrams and calls."`
	Metrics       fleet.Address `key:"metrics" doc:"Metrics; nothing is served when empty."`
}

// StoreSection holds the address of the store and its limits.
type StoreSection struct {
	Address       fleet.Address `key:"address" required:"true" doc:"IP number and port of the store."`
	WritesPerS    int           `key:"writes_per_s" default:"0" min:"0" doc:"Writes that the store takes from all routers together; 0: where streams began, and which prompt segments are refused, is not kept there."`
	MaxValueBytes int           `key:"max_value_bytes" default:"0" min:"0" unit:"B" doc:"Size of a value of the store."`
}

// PeersSection names other routers for a start while the store is down.
type PeersSection struct {
	Seeds []fleet.Address `key:"seeds" doc:"Ports for other routers, separated by commas; some may be gone."`
}

// VMSection holds the resources that the VM gives to this process.
type VMSection struct {
	MemoryMB    int `key:"memory_mb" default:"128" min:"32" unit:"MB" doc:"Memory of the process; it is killed beyond."`
	Descriptors int `key:"descriptors" default:"1024" min:"300" doc:"File descriptors of the process."`
}

// BoundsSection holds the bounds agreed with the users.
type BoundsSection struct {
	Grace    time.Duration `key:"grace" default:"8s" min:"1s" doc:"From the signal to stop until the process is killed."`
	Revoke   time.Duration `key:"revoke" default:"5s" min:"500ms" doc:"From the withdrawal of a key until no request with it runs."`
	Apply    time.Duration `key:"apply" default:"2s" min:"200ms" doc:"From the acceptance of a configuration until it is in force."`
	Leave    time.Duration `key:"leave" default:"2s" min:"200ms" doc:"From a backend server's leaving until it gets no request."`
	Evacuate time.Duration `key:"evacuate" default:"0s" min:"0s" doc:"From an order to evacuate an availability zone until its backend servers get no request; 0 where zones are not evacuated."`
	// Bounds for backend servers that have just started.
	ColdOvershoot float64 `key:"cold_overshoot" default:"0" min:"0" doc:"How many times the rate that a cold backend server tolerates it may get from all routers; 0: no bound."`
	ColdSlack     float64 `key:"cold_slack" default:"0" min:"0" doc:"Requests in a second beyond that."`

	RetryRatio  float64       `key:"retry_ratio" default:"0.2" min:"0" doc:"Second sends per request to a service, over all routers."`
	RetryExtra  float64       `key:"retry_extra" default:"50" min:"0" doc:"Second sends to a service beyond that in a window, over all routers."`
	RetryWindow time.Duration `key:"retry_window" default:"10s" min:"100ms" doc:"Window of the two keys above."`
}

// AdmissionSection holds the settings of admission control for model engines. The defaults
// suit all deployments; other values are for experiments.
type AdmissionSection struct {
	BudgetShare float64 `key:"budget_share" default:"1" min:"0.01" max:"4" doc:"Part of a route's target latency within which an engine must have read the prompts ahead of a request and its own."`
	SlotShare   float64 `key:"slot_share" default:"0.8" min:"0.05" max:"1" doc:"Part of an engine's slots that is used."`
	MemoryShare float64 `key:"memory_share" default:"0.9" min:"0.05" max:"1" doc:"Part of an engine's memory that requests may fill."`
	RankShare   float64 `key:"rank_share" default:"0.85" min:"0.1" max:"1" doc:"Part of that time that each less urgent priority has of the next more urgent one's."`
	OwedEngines int     `key:"owed_engines" default:"8" min:"2" doc:"How many engines are looked at for a request within its account's share."`

	SurplusShare    float64 `key:"surplus_share" default:"0.6" min:"0" max:"1" doc:"Part of that time for accounts that have had their share."`
	SurplusMost     float64 `key:"surplus_most" default:"2" min:"1" doc:"How many times its share an account may get before it gets only what is idle."`
	SurplusExponent float64 `key:"surplus_exponent" default:"3" min:"0" max:"10" doc:"How much a longer target latency lowers the odds beyond the share; 0: all alike."`

	ContinueMost   float64 `key:"continue_most" default:"4" min:"0" doc:"How many times its share an account may get by streams that go on before these count as new requests."`
	ContinueBudget float64 `key:"continue_budget" default:"2" min:"0.01" max:"4" doc:"Times a route's target latency within which an engine must have read the prompts ahead of a stream that goes on."`
	ContinueSlots  float64 `key:"continue_slots" default:"0.9" min:"0.05" max:"1" doc:"Part of an engine's slots that is used for streams that go on."`

	IdleShare  float64 `key:"idle_share" default:"0.08" min:"0" max:"1" doc:"Part of the shortest target latency within which an engine must have read what is ahead and the prompt itself, for requests that take only what is idle."`
	IdleSlots  float64 `key:"idle_slots" default:"0.25" min:"0" max:"1" doc:"Part of an engine's slots up to which such requests are let in; 0: never."`
	IdleMemory float64 `key:"idle_memory" default:"0.25" min:"0" max:"1" doc:"Part of an engine's memory up to which they are let in."`

	IdleWide      float64 `key:"idle_wide" default:"0.2" min:"0" max:"1" doc:"The same part for accounts that have had little of what is served."`
	IdleWideSlots float64 `key:"idle_wide_slots" default:"0.6" min:"0" max:"1" doc:"Part of an engine's slots and memory up to which their requests are let in."`
	IdleMost      float64 `key:"idle_most" default:"1.5" min:"1" doc:"How many times its even part of all that is served an account may get by what is idle."`

	LeastHeadroom    float64 `key:"least_headroom" default:"0.2" min:"0.01" max:"1" doc:"How far late answers lower the times above at most; 1: not at all."`
	ObservedCapacity bool    `key:"observed_capacity" default:"true" doc:"Divide what engines take when that is less than the stated capacity."`
	Fetch            bool    `key:"fetch" default:"true" doc:"Let engines fetch kept prompt parts from each other."`
	SecondPenalty    float64 `key:"second_penalty" default:"2" min:"0" max:"100" doc:"What reading the shared parts counts at an engine that does not keep them."`
	RetryShare       float64 `key:"retry_share" default:"0.35" min:"0.01" max:"1" doc:"Part of a route's target latency after which refused callers are told to come back."`
	RetrySpread      float64 `key:"retry_spread" default:"0" min:"0" max:"0.9" doc:"Part of that time by which it is shortened or lengthened, so that callers do not come back together; accounts that had least come first."`
}

// EnginesSection holds how differences between backend servers are taken into account.
type EnginesSection struct {
	Pace           bool    `key:"pace" default:"false" doc:"Go by the work time that backend servers report, and by what is seen of them, in place of one figure for all engines of a service."`
	ProtectStreams float64 `key:"protect_streams" default:"0" min:"0" max:"1" doc:"Part of a service's shortest target gap for which an engine that reports its work time may read prompts beside streams in progress; 0: not bounded."`
	OwnZoneFirst   bool    `key:"own_zone_first" default:"false" doc:"Give prompt parts that are cheap to read, or asked for often, homes in the router's own availability zone."`
}

// PlainSection holds the settings of plain services.
type PlainSection struct {
	Admission bool `key:"admission" default:"false" doc:"Refuse requests that would wait too long at plain backend servers."`
}

const (
	// bodyMemoryShare is the fraction of the memory that request bodies may fill. The rest
	// is for connections, answers and the runtime.
	bodyMemoryShare = 0.25
	// answerMemoryShare is the fraction of the memory that answers may fill which are held until
	// they are complete. The runtime frees what a growing buffer leaves behind some time later.
	answerMemoryShare = 0.15
	// descriptorShare is the fraction of the descriptors, without the reserved ones, that
	// callers' connections may use. The rest is for connections to backend servers.
	descriptorShare = 0.55
	// connectionMemory is the memory of a caller's connection: buffers, stack and unread
	// bytes.
	connectionMemory = 24 << 10
	// connectionMemoryShare is the fraction of the memory that callers' connections may
	// use.
	connectionMemoryShare = 0.3
	// reservedDescriptors is the number of descriptors reserved for files.
	reservedDescriptors = 200
	// heapShare is the fraction of the memory beyond which the Go runtime collects garbage
	// more often.
	heapShare = 0.75
	// keyMaxAgeShare is the fraction of the bound for withdrawn keys up to which a router
	// accepts keys without a new confirmation of its configuration. Requests with keys are
	// promised an answer up to 0.6 of the bound only, so refusing them from here on breaks
	// no promise.
	keyMaxAgeShare = 0.8
	// denialMaxAgeShare is the fraction of the bound for configurations up to which an
	// unknown route is denied permanently.
	denialMaxAgeShare = 0.9
	bytesPerMB        = 1 << 20
)

// ShortestBound returns the shortest time within which a change must be in force.
func (s BoundsSection) ShortestBound() time.Duration { return min(s.Apply, s.Leave) }

// MaxConnections returns the maximum number of concurrent caller connections.
func (s VMSection) MaxConnections() int {
	byDescriptors := float64(s.Descriptors-reservedDescriptors) * descriptorShare
	byMemory := float64(s.MemoryMB*bytesPerMB) * connectionMemoryShare / connectionMemory
	return max(int(min(byDescriptors, byMemory)), 16)
}

// HeapLimit returns the heap size in bytes beyond which the Go runtime collects garbage
// more often.
func (s VMSection) HeapLimit() int64 { return int64(float64(s.MemoryMB*bytesPerMB) * heapShare) }

// Settings returns the settings for the router's decisions.
func (c *Config) Settings() Settings {
	admission := c.Admission.Policy()
	admission.GapShare = c.Engines.ProtectStreams
	return Settings{
		Freshness: Freshness{
			KeyMaxAge:    time.Duration(float64(c.Bounds.Revoke) * keyMaxAgeShare),
			DenialMaxAge: time.Duration(float64(c.Bounds.Apply) * denialMaxAgeShare),
		},
		Revoke: c.Bounds.Revoke,
		Budget: RetryBudgetSettings{
			Ratio:  c.Bounds.RetryRatio,
			Extra:  c.Bounds.RetryExtra,
			Window: c.Bounds.RetryWindow,
		},
		Cold:       ColdSettings{Overshoot: c.Bounds.ColdOvershoot, Slack: c.Bounds.ColdSlack},
		Evacuate:   c.Bounds.Evacuate,
		Admission:  admission,
		Engines:    EngineSettings{Pace: c.Engines.Pace, OwnZoneFirst: c.Engines.OwnZoneFirst},
		Plain:      PlainSettings{Admission: c.Plain.Admission},
		BodyMemory: int64(float64(c.VM.MemoryMB*bytesPerMB) * bodyMemoryShare),

		AnswerMemory: int64(float64(c.VM.MemoryMB*bytesPerMB) * answerMemoryShare),
	}
}

// Policy returns the section as settings of admission control.
func (s AdmissionSection) Policy() policy.Settings {
	return policy.Settings{
		BudgetShare: s.BudgetShare,
		SlotShare:   s.SlotShare,
		MemoryShare: s.MemoryShare,
		RankShare:   s.RankShare,
		OwedEngines: s.OwedEngines,

		SurplusShare:    s.SurplusShare,
		SurplusMost:     s.SurplusMost,
		SurplusExponent: s.SurplusExponent,

		ContinueMost:   s.ContinueMost,
		ContinueBudget: s.ContinueBudget,
		ContinueSlots:  s.ContinueSlots,

		IdleShare:  s.IdleShare,
		IdleSlots:  s.IdleSlots,
		IdleMemory: s.IdleMemory,

		IdleWide:      s.IdleWide,
		IdleWideSlots: s.IdleWideSlots,
		IdleMost:      s.IdleMost,

		LeastHeadroom:    s.LeastHeadroom,
		ObservedCapacity: s.ObservedCapacity,
		Fetch:            s.Fetch,
		SecondPenalty:    s.SecondPenalty,
		RetryShare:       s.RetryShare,
		RetrySpread:      s.RetrySpread,
	}
}
