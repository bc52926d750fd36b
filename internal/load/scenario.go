// Package load generates the requests of a scenario and computes figures on the
// routers: the fairness gap between client accounts, the utilisation of capacity
// and the control traffic. The computations are pure functions of the clients'
// records and the engines' ledgers.
package load

import (
	"fmt"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
)

// Pattern is the arrival pattern of a stream's requests.
type Pattern string

// The arrival patterns.
const (
	PatternClosed  Pattern = "closed"  // a fixed number outstanding
	PatternPoisson Pattern = "poisson" // at a mean rate, independently of the answers
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Run      RunSection       `section:"run" doc:"Length of the run."`
	Fleet    FleetSection     `section:"fleet" doc:"The processes under load."`
	Services []ServiceSection `section:"service.*" doc:"A service and its engines."`
	Streams  []StreamSection  `section:"load.*" doc:"One stream of requests."`
}

// RunSection sets the name, the length and the seed of the run.
type RunSection struct {
	Name     string        `key:"name" default:"unnamed" doc:"Name in the report."`
	Duration time.Duration `key:"duration" default:"20s" min:"1s" doc:"Measured time, after the warm-up."`
	WarmUp   time.Duration `key:"warm_up" default:"3s" doc:"Time that is not measured."`
	Drain    time.Duration `key:"drain" default:"60s" doc:"Longest wait for the last answers."`
	Seed     int64         `key:"seed" default:"1" doc:"Seed of sizes and arrivals."`
}

// FleetSection holds the addresses of the processes under load.
type FleetSection struct {
	Routers       []fleet.Address `key:"routers" doc:"Routers' addresses for callers."`
	RouterControl []fleet.Address `key:"router_control" doc:"Routers' control addresses."`
	AgentControl  []fleet.Address `key:"agent_control" doc:"Agents' control addresses."`
}

// ServiceSection holds a service's engines and costs.
type ServiceSection struct {
	Name            string          `name:"section"`
	Engines         []fleet.Address `key:"engines" doc:"Addresses of the engines."`
	PromptCost      float64         `key:"prompt_cost" default:"0.1" min:"0" doc:"Cost units per prompt token."`
	TokenCost       float64         `key:"token_cost" default:"1" min:"0" doc:"Cost units per generated token."`
	MillisecondCost float64         `key:"millisecond_cost" default:"1" min:"0" doc:"Cost units per millisecond of a plain call."`
}

// StreamSection describes a stream of requests of an account. An account may have
// several streams.
type StreamSection struct {
	Name        string        `name:"section"`
	Account     string        `key:"account" required:"true" doc:"Client account in the report."`
	Key         string        `key:"key" doc:"API key."`
	Weight      float64       `key:"weight" default:"1" min:"0.001" doc:"The account's weight in the settings tree."`
	Service     string        `key:"service" required:"true" doc:"Service that is called."`
	Group       string        `key:"group" default:"all" doc:"Name under which percentiles are put together."`
	Plain       bool          `key:"plain" default:"false" doc:"Plain calls instead of model requests."`
	Pattern     Pattern       `key:"pattern" default:"closed" oneof:"closed|poisson" doc:"When requests arrive."`
	Outstanding int           `key:"outstanding" default:"8" min:"1" doc:"Requests in progress or waiting (closed)."`
	Rate        float64       `key:"rate" default:"1" min:"0" doc:"Mean arrivals (poisson)." unit:"requests a second"`
	Start       time.Duration `key:"start" default:"0s" doc:"Time after the warm-up at which arrivals begin; 0 begins with the warm-up."`
	Stop        time.Duration `key:"stop" default:"0s" doc:"Time after the warm-up at which arrivals end; 0 is the run's end."`
	Routers     []string      `key:"routers" doc:"Places in the list of routers, from 0; none means all in turn."`
	Prompt      int           `key:"prompt" default:"100" min:"1" doc:"Median prompt." unit:"tokens"`
	Shared      int           `key:"shared_prompt" default:"0" doc:"Part of each prompt that all requests of the stream share." unit:"tokens"`
	Output      int           `key:"output" default:"100" min:"1" doc:"Median answer." unit:"tokens"`
	Work        time.Duration `key:"work" default:"5ms" doc:"Median work of a plain call."`
	Sigma       float64       `key:"sigma" default:"0.8" min:"0" max:"3" doc:"Standard deviation of the logarithm of prompt, answer and work."`
	Hint        float64       `key:"hint" default:"1" min:"0" doc:"max_tokens as a multiple of the answer's length; 0 sends none."`
	Whole       bool          `key:"whole" default:"false" doc:"Ask for the answer in one piece."`
	Deadline    time.Duration `key:"deadline" default:"0s" doc:"Sent as Bluebell-Deadline; 0 sends none."`
}

// ReadScenario reads and checks a scenario file.
func ReadScenario(file string) (Scenario, error) {
	var s Scenario
	err := inifile.Read(file, &s)
	return s, err
}

// Validate implements inifile.Validator.
func (s *Scenario) Validate() []inifile.Problem {
	var problems []inifile.Problem
	if len(s.Fleet.Routers) == 0 {
		problems = append(problems, inifile.Problem{Section: "fleet", Key: "routers", Message: "at least one is needed"})
	}
	for _, stream := range s.Streams {
		problems = append(problems, s.checkStream(stream)...)
	}
	return problems
}

func (s *Scenario) checkStream(stream StreamSection) []inifile.Problem {
	section := "load." + stream.Name
	var problems []inifile.Problem
	if _, ok := s.service(stream.Service); !ok {
		problem := fmt.Sprintf("there is no section [service.%s]", stream.Service)
		problems = append(problems, inifile.Problem{Section: section, Key: "service", Message: problem})
	}
	if _, err := routerIndexes(stream.Routers, len(s.Fleet.Routers)); err != nil {
		problems = append(problems, inifile.Problem{Section: section, Key: "routers", Message: err.Error()})
	}
	return problems
}

func (s *Scenario) service(name string) (ServiceSection, bool) {
	for _, service := range s.Services {
		if service.Name == name {
			return service, true
		}
	}
	return ServiceSection{}, false
}
