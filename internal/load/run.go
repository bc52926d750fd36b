package load

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// maxRetryWait limits how long a closed loop waits for Retry-After, so that a
// refusal doesn't stop a stream for the rest of a short run.
const maxRetryWait = 5 * time.Second

// minRetryWait keeps a closed loop from spinning on refusals.
const minRetryWait = 100 * time.Millisecond

// Run generates the scenario's load, waits for the last answers and returns the
// report.
func Run(ctx context.Context, scenario Scenario) (Report, error) {
	start := time.Now()
	from := start.Add(scenario.Run.WarmUp)
	to := from.Add(scenario.Run.Duration)
	r := &runner{
		scenario: scenario,
		client:   newClient(scenario.Fleet.Routers),
		from:     from,
		to:       to,
	}
	engines, err := readEngines(scenario.Services)
	if err != nil {
		return Report{}, err
	}
	nodes := sampleNodes(ctx, scenario.Fleet, from, to)
	if err := r.runStreams(ctx); err != nil {
		return Report{}, err
	}
	usage := <-nodes
	if err := readLedgers(engines, start); err != nil {
		return Report{}, err
	}
	return newReport(scenario, from, to, r.results, engines, usage), nil
}

// runner generates the load of a run.
type runner struct {
	scenario Scenario
	client   *client
	from, to time.Time

	mu      sync.Mutex
	results []Result
}

// runStreams runs all streams and waits for their last answers, up to the drain
// time.
func (r *runner) runStreams(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range r.scenario.Streams {
		section := &r.scenario.Streams[i]
		gen, err := newGenerator(section, len(r.scenario.Fleet.Routers), uint64(r.scenario.Run.Seed)<<16+uint64(i))
		if err != nil {
			return err
		}
		group.Go(func() error { return r.runStream(ctx, i, gen) })
	}
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	late := time.NewTimer(time.Until(r.to) + r.scenario.Run.Drain)
	defer late.Stop()
	select {
	case err := <-done:
		return err
	case <-late.C:
		return errors.Errorf("answers are missing %v after the end of the run", r.scenario.Run.Drain)
	}
}

// runStream runs one stream between its start and its stop.
func (r *runner) runStream(ctx context.Context, stream int, gen *generator) error {
	section := gen.section
	stop := r.to
	if section.Stop > 0 {
		stop = r.from.Add(section.Stop)
	}
	if section.Start > 0 && !sleepUntil(ctx, r.from.Add(section.Start)) {
		return ctx.Err()
	}
	if section.Pattern == PatternPoisson {
		return r.runPoisson(ctx, stream, gen, stop)
	}
	return r.runClosedLoop(ctx, stream, gen, stop)
}

// runClosedLoop keeps a fixed number of requests outstanding.
func (r *runner) runClosedLoop(ctx context.Context, stream int, gen *generator, stop time.Time) error {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for range gen.section.Outstanding {
		group.Go(func() error {
			for ctx.Err() == nil && time.Now().Before(stop) {
				mu.Lock()
				request := gen.next()
				mu.Unlock()
				result := r.send(stream, request)
				if result.Verdict != VerdictWhole {
					sleepUntil(ctx, time.Now().Add(min(max(result.RetryAfter, minRetryWait), maxRetryWait)))
				}
			}
			return ctx.Err()
		})
	}
	return group.Wait()
}

// runPoisson sends requests as a Poisson process, independently of the answers.
func (r *runner) runPoisson(ctx context.Context, stream int, gen *generator, stop time.Time) error {
	group, ctx := errgroup.WithContext(ctx)
	at := time.Now()
	for gen.section.Rate > 0 {
		at = at.Add(time.Duration(gen.random.ExpFloat64() / gen.section.Rate * float64(time.Second)))
		if !at.Before(stop) || !sleepUntil(ctx, at) {
			break
		}
		request := gen.next()
		group.Go(func() error {
			r.send(stream, request)
			return nil
		})
	}
	return group.Wait()
}

// send sends a request and records its result.
func (r *runner) send(stream int, request call) Result {
	result := r.client.send(request)
	result.Stream = stream
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	return result
}

// sleepUntil sleeps until a time and reports whether the context was still valid.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
