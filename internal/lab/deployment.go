package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/emulator"
)

// Kind describes a class of model requests.
type Kind struct {
	Share         float64       // fraction of all requests
	SharedTokens  int           // length of the shared prompt segment
	SharedPrompts int           // number of different shared segments
	MeanOwnTokens float64       // mean length of the segment that no other request shares
	OutputTokens  int           // generated tokens
	TargetLatency time.Duration // target time to the first event
	TargetGap     time.Duration // target time between events
	Timeout       time.Duration // from the first attempt
}

// Deployment describes a fleet and its load.
type Deployment struct {
	Routers           int
	Engines           int
	Engine            emulator.Config
	StatedCapacity    float64 // tokens per second, as configured by the operator
	Kinds             []Kind
	AccountWeights    []float64 // relative request rate of each account
	RequestsPerSecond float64   // of all accounts
}

// cost returns how many tokens of the capacity a mean request uses.
func (k Kind) cost() float64 {
	return float64(k.SharedTokens) + k.MeanOwnTokens + 2*float64(k.OutputTokens)
}

// meanCost returns the mean cost over the kinds.
func (d *Deployment) meanCost() float64 {
	sum := 0.0
	for _, kind := range d.Kinds {
		sum += kind.Share * kind.cost()
	}
	return sum
}

// Bounds of random deployments.
const (
	minSlots, maxSlots               = 8, 256
	minPrefillPerMS, maxPrefillPerMS = 20, 200 // prompt tokens per millisecond
	minStepMS, maxStepMS             = 2, 20   // milliseconds
	minEngines, maxEngines           = 2, 24
	maxRouters                       = 12
	minTargetMS, maxTargetMS         = 100, 5000 // milliseconds
	minPromptTokens, maxPromptTokens = 200, 12_000
	minOutputTokens, maxOutputTokens = 10, 400
	// minStatedRatio and maxStatedRatio bound the stated capacity as a multiple
	// of half the engines' total prefill rate.
	minStatedRatio, maxStatedRatio = 0.3, 2
	// minLoadRatio and maxLoadRatio bound the load as a multiple of the stated
	// capacity.
	minLoadRatio, maxLoadRatio = 0.6, 4
	// maxRequestsPerSecond keeps the run time of a simulation short.
	maxRequestsPerSecond = 500
)

// RandomDeployment returns a random deployment for the seed. Fleets and loads
// differ widely.
func RandomDeployment(seed uint64) Deployment {
	random := rand.New(rand.NewPCG(seed, 2))
	logUniform := func(low, high float64) float64 { return low * math.Exp(random.Float64()*math.Log(high/low)) }
	logUniformInt := func(low, high float64) int { return int(math.Round(logUniform(low, high))) }
	d := Deployment{Routers: logUniformInt(1, maxRouters), Engines: logUniformInt(minEngines, maxEngines)}
	d.Engine = emulator.Config{
		Slots:              logUniformInt(minSlots, maxSlots),
		Step:               time.Duration(logUniform(minStepMS, maxStepMS) * float64(time.Millisecond)),
		StepPerRequest:     50 * time.Microsecond,
		PrefillTokensPerMS: logUniform(minPrefillPerMS, maxPrefillPerMS),
		PrefillChunk:       2048,
		MemoryTokens:       logUniformInt(100_000, 600_000),
		TokensPerEvent:     logUniformInt(1, 8),
	}
	for range 1 + random.IntN(3) {
		kind := Kind{
			Share:         0.2 + random.Float64(),
			SharedTokens:  logUniformInt(minPromptTokens, maxPromptTokens) - minPromptTokens,
			SharedPrompts: logUniformInt(4, 400),
			MeanOwnTokens: logUniform(minPromptTokens, maxPromptTokens/2),
			OutputTokens:  logUniformInt(minOutputTokens, maxOutputTokens),
			TargetLatency: time.Duration(logUniform(minTargetMS, maxTargetMS)) * time.Millisecond,
			TargetGap:     300 * time.Millisecond,
		}
		kind.Timeout = max(3*time.Second, 3*kind.TargetLatency)
		d.Kinds = append(d.Kinds, kind)
	}
	normalise(d.Kinds)
	d.StatedCapacity = logUniform(minStatedRatio, maxStatedRatio) * float64(d.Engines) * d.Engine.PrefillTokensPerMS * 1000 / 2
	for range logUniformInt(2, 40) {
		d.AccountWeights = append(d.AccountWeights, logUniform(0.05, 5))
	}
	d.RequestsPerSecond = min(logUniform(minLoadRatio, maxLoadRatio)*d.StatedCapacity/d.meanCost(), maxRequestsPerSecond)
	return d
}

func normalise(kinds []Kind) {
	sum := 0.0
	for _, kind := range kinds {
		sum += kind.Share
	}
	for i := range kinds {
		kinds[i].Share /= sum
	}
}
