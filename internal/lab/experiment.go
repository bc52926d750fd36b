package lab

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellchute/bluebellchute/internal/gate"
)

// Config is the content of an experiment's INI file.
type Config struct {
	Experiment ExperimentSection `section:"experiment" doc:"Which deployments are drawn, and how long each is played."`
	Policies   []PolicySection   `section:"policy.*" doc:"A policy to compare; its keys are those of the admission section of a gate."`
}

// ExperimentSection sets the number and length of the simulations.
type ExperimentSection struct {
	Deployments int           `key:"deployments" default:"200" min:"1" doc:"How many deployments are drawn."`
	First       int           `key:"first" default:"1" min:"0" doc:"Seed of the first one; the others follow."`
	Length      time.Duration `key:"length" default:"8s" min:"1s" doc:"Simulated time of each run."`
	Workers     int           `key:"workers" default:"0" min:"0" doc:"Runs at once; 0: one for each core."`
}

// PolicySection is a named policy.
type PolicySection struct {
	Name string `name:"section"`
	gate.AdmissionSection
}

// Row compares a policy with the first policy of the experiment over all
// deployments.
type Row struct {
	Policy string  `json:"policy"`
	InTime Spread  `json:"in_time"` // ratio to the first policy
	Tokens Spread  `json:"tokens_in_time"`
	Worst  Spread  `json:"worst_account"` // difference to the first policy
	Late   float64 `json:"late"`          // fraction of all answers
}

// Spread is the distribution of a figure over the deployments.
type Spread struct {
	LowestTenth  float64 `json:"lowest_tenth"`
	Median       float64 `json:"median"`
	HighestTenth float64 `json:"highest_tenth"`
}

// Compare simulates all policies on all deployments. It calls progress with the
// number of finished deployments after each one, from several goroutines.
func Compare(ctx context.Context, config Config, progress func(done int)) ([]Row, error) {
	if len(config.Policies) == 0 {
		return nil, errors.New("the experiment has no [policy.*] section")
	}
	results := make([][]Result, config.Experiment.Deployments)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(cmp.Or(config.Experiment.Workers, runtime.NumCPU()))
	var done atomic.Int64
	for i := range results {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			results[i] = runAll(config, uint64(config.Experiment.First+i))
			progress(int(done.Add(1)))
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	rows := make([]Row, len(config.Policies))
	for p, policy := range config.Policies {
		rows[p] = comparePolicy(policy.Name, results, p)
	}
	return rows, nil
}

// runAll simulates all policies on one random deployment.
func runAll(config Config, seed uint64) []Result {
	deployment := RandomDeployment(seed)
	results := make([]Result, len(config.Policies))
	for p, policy := range config.Policies {
		results[p] = Run(deployment, policy.Policy(), seed, config.Experiment.Length)
	}
	return results
}

func comparePolicy(name string, results [][]Result, p int) Row {
	var inTime, tokens, worst []float64
	answered, late := 0, 0
	for _, deployment := range results {
		baseline, result := deployment[0], deployment[p]
		inTime = append(inTime, float64(result.InTime+1)/float64(baseline.InTime+1))
		tokens = append(tokens, (result.TokensInTime+1)/(baseline.TokensInTime+1))
		worst = append(worst, result.Worst-baseline.Worst)
		answered += result.InTime + result.Late
		late += result.Late
	}
	return Row{Policy: name, InTime: newSpread(inTime), Tokens: newSpread(tokens), Worst: newSpread(worst), Late: float64(late) / float64(max(answered, 1))}
}

func newSpread(values []float64) Spread {
	slices.Sort(values)
	at := func(fraction float64) float64 { return values[int(fraction*float64(len(values)-1))] }
	return Spread{LowestTenth: at(0.1), Median: at(0.5), HighestTenth: at(0.9)}
}
