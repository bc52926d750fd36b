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

// Config is the file of an experiment.
type Config struct {
	Experiment ExperimentSection `section:"experiment" doc:"Which deployments are drawn, and how long each is played."`
	Policies   []PolicySection   `section:"policy.*" doc:"A policy to compare; its keys are those of the admission section of a gate."`
}

// ExperimentSection says what is played.
type ExperimentSection struct {
	Deployments int           `key:"deployments" default:"200" min:"1" doc:"How many deployments are drawn."`
	First       int           `key:"first" default:"1" min:"0" doc:"Seed of the first one; the others follow."`
	Length      time.Duration `key:"length" default:"8s" min:"1s" doc:"Simulated time of each run."`
	Workers     int           `key:"workers" default:"0" min:"0" doc:"Runs at once; 0: one for each core."`
}

// PolicySection is a policy with a name.
type PolicySection struct {
	Name string `name:"section"`
	gate.AdmissionSection
}

// Row compares a policy with the first one of the experiment over all
// deployments: its figure over the first one's, requests served in time and the
// worst account.
type Row struct {
	Policy string  `json:"policy"`
	InTime Spread  `json:"in_time"` // ratio to the first policy
	Tokens Spread  `json:"tokens_in_time"`
	Worst  Spread  `json:"worst_account"` // difference to the first policy
	Late   float64 `json:"late"`          // part of the answers, mean
}

// Spread is how a figure lies over the deployments.
type Spread struct {
	LowestTenth  float64 `json:"lowest_tenth"`
	Median       float64 `json:"median"`
	HighestTenth float64 `json:"highest_tenth"`
}

// Compare plays all policies on all deployments. progress is called after each
// deployment with how many are done.
func Compare(ctx context.Context, config Config, progress func(done int)) ([]Row, error) {
	if len(config.Policies) == 0 {
		return nil, errors.New("the experiment names no policy")
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
			results[i] = playAll(config, uint64(config.Experiment.First+i))
			progress(int(done.Add(1)))
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	rows := make([]Row, len(config.Policies))
	for p, policy := range config.Policies {
		rows[p] = compareOne(policy.Name, results, p)
	}
	return rows, nil
}

// playAll plays all policies on one drawn deployment.
func playAll(config Config, seed uint64) []Result {
	deployment := Draw(seed)
	results := make([]Result, len(config.Policies))
	for p, policy := range config.Policies {
		results[p] = Run(deployment, policy.Policy(), seed, config.Experiment.Length)
	}
	return results
}

func compareOne(name string, results [][]Result, p int) Row {
	var inTime, tokens, worst []float64
	answered, late := 0, 0
	for _, deployment := range results {
		first, own := deployment[0], deployment[p]
		inTime = append(inTime, float64(own.InTime+1)/float64(first.InTime+1))
		tokens = append(tokens, (own.TokensInTime+1)/(first.TokensInTime+1))
		worst = append(worst, own.Worst-first.Worst)
		answered += own.InTime + own.Late
		late += own.Late
	}
	return Row{Policy: name, InTime: spreadOf(inTime), Tokens: spreadOf(tokens), Worst: spreadOf(worst), Late: float64(late) / float64(max(answered, 1))}
}

func spreadOf(values []float64) Spread {
	slices.Sort(values)
	at := func(part float64) float64 { return values[int(part*float64(len(values)-1))] }
	return Spread{LowestTenth: at(0.1), Median: at(0.5), HighestTenth: at(0.9)}
}
