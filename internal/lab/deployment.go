package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/emulator"
)

// Kind is a kind of request for a model.
type Kind struct {
	Share   float64       // of all requests
	Shared  int           // prompt tokens that requests share
	Parts   int           // different shared parts
	Own     float64       // mean of the prompt tokens that are its own
	Output  int           // tokens to be generated
	Target  time.Duration // to the first event
	Gap     time.Duration // longest pause between events in time
	Timeout time.Duration // from the first try
}

// Deployment is a fleet with its load.
type Deployment struct {
	Routers   int
	Engines   int
	Engine    emulator.Config
	Stated    float64 // capacity that the operator states, tokens a second
	Kinds     []Kind
	Accounts  []float64 // parts of the requests by account
	PerSecond float64   // requests of all accounts
}

// cost returns what a mean request counts of the capacity, in tokens.
func (k Kind) cost() float64 { return float64(k.Shared) + k.Own + 2*float64(k.Output) }

// meanCost returns the mean over the kinds.
func (d *Deployment) meanCost() float64 {
	sum := 0.0
	for _, kind := range d.Kinds {
		sum += kind.Share * kind.cost()
	}
	return sum
}

// Bounds of what is drawn.
const (
	slotsLeast, slotsMost     = 8, 256
	readLeast, readMost       = 20, 200 // prompt tokens a millisecond
	stepLeast, stepMost       = 2, 20   // milliseconds
	enginesLeast, enginesMost = 2, 24
	routersMost               = 12
	targetLeast, targetMost   = 100, 5000 // milliseconds
	promptLeast, promptMost   = 200, 12_000
	outputLeast, outputMost   = 10, 400
	// statedLeast and statedMost are the stated capacity in parts of what the
	// engines read.
	statedLeast, statedMost = 0.3, 2
	// loadLeast and loadMost are what is asked in parts of the stated capacity.
	loadLeast, loadMost = 0.6, 4
	// requestsMost bounds the requests of a second, so that a run stays short.
	requestsMost = 500
)

// Draw returns a deployment by the seed: fleets and loads of very different
// shapes.
func Draw(seed uint64) Deployment {
	random := rand.New(rand.NewPCG(seed, 2))
	even := func(least, most float64) float64 { return least * math.Exp(random.Float64()*math.Log(most/least)) }
	whole := func(least, most float64) int { return int(math.Round(even(least, most))) }
	d := Deployment{Routers: whole(1, routersMost), Engines: whole(enginesLeast, enginesMost)}
	d.Engine = emulator.Config{
		Slots:              whole(slotsLeast, slotsMost),
		Step:               time.Duration(even(stepLeast, stepMost) * float64(time.Millisecond)),
		StepPerRequest:     50 * time.Microsecond,
		PrefillTokensPerMS: even(readLeast, readMost),
		PrefillChunk:       2048,
		MemoryTokens:       whole(100_000, 600_000),
		TokensPerEvent:     whole(1, 8),
	}
	for range 1 + random.IntN(3) {
		kind := Kind{
			Share:  0.2 + random.Float64(),
			Shared: whole(promptLeast, promptMost) - promptLeast,
			Parts:  whole(4, 400),
			Own:    even(promptLeast, promptMost/2),
			Output: whole(outputLeast, outputMost),
			Target: time.Duration(even(targetLeast, targetMost)) * time.Millisecond,
			Gap:    300 * time.Millisecond,
		}
		kind.Timeout = max(3*time.Second, 3*kind.Target)
		d.Kinds = append(d.Kinds, kind)
	}
	normalise(d.Kinds)
	d.Stated = even(statedLeast, statedMost) * float64(d.Engines) * d.Engine.PrefillTokensPerMS * 1000 / 2
	for range whole(2, 40) {
		d.Accounts = append(d.Accounts, even(0.05, 5))
	}
	d.PerSecond = min(even(loadLeast, loadMost)*d.Stated/d.meanCost(), requestsMost)
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
