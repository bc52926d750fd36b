package load

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// maxRetryWait bounds how long a closed loop obeys Retry-After, so that one
// refusal does not take a stream out of a short run.
const maxRetryWait = 5 * time.Second

// minRetryWait keeps a closed loop from spinning on refusals.
const minRetryWait = 100 * time.Millisecond

// Run offers the scenario's load, waits for the last answers and returns the
// report.
func Run(ctx context.Context, scenario Scenario) (Report, error) {
	begin := time.Now()
	from := begin.Add(scenario.Run.WarmUp)
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
	nodes := watchNodes(ctx, scenario.Fleet, from, to)
	if err := r.offer(ctx); err != nil {
		return Report{}, err
	}
	usage := <-nodes
	if err := readLedgers(engines, begin); err != nil {
		return Report{}, err
	}
	return newReport(scenario, from, to, r.results, engines, usage), nil
}

// runner offers the load of one run.
type runner struct {
	scenario Scenario
	client   *client
	from, to time.Time

	mu      sync.Mutex
	results []Result
}

// offer runs all streams and waits for their last answers, at most for the
// drain time.
func (r *runner) offer(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range r.scenario.Streams {
		section := &r.scenario.Streams[i]
		caller, err := newCaller(section, len(r.scenario.Fleet.Routers), uint64(r.scenario.Run.Seed)<<16+uint64(i))
		if err != nil {
			return err
		}
		group.Go(func() error { return r.offerStream(ctx, i, caller) })
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

// offerStream runs one stream between its start and its stop.
func (r *runner) offerStream(ctx context.Context, stream int, caller *caller) error {
	section := caller.section
	stop := r.to
	if section.Stop > 0 {
		stop = r.from.Add(section.Stop)
	}
	if section.Start > 0 && !sleepUntil(ctx, r.from.Add(section.Start)) {
		return ctx.Err()
	}
	if section.Pattern == PatternPoisson {
		return r.offerPoisson(ctx, stream, caller, stop)
	}
	return r.offerClosed(ctx, stream, caller, stop)
}

// offerClosed keeps a fixed number of requests outstanding.
func (r *runner) offerClosed(ctx context.Context, stream int, caller *caller, stop time.Time) error {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for range caller.section.Outstanding {
		group.Go(func() error {
			for ctx.Err() == nil && time.Now().Before(stop) {
				mu.Lock()
				request := caller.next()
				mu.Unlock()
				result := r.send(stream, request)
				if result.Verdict != VerdictWhole {
					sleepUntil(ctx, time.Now().Add(min(max(result.Retry, minRetryWait), maxRetryWait)))
				}
			}
			return ctx.Err()
		})
	}
	return group.Wait()
}

// offerPoisson sends at a mean rate, whatever the answers do.
func (r *runner) offerPoisson(ctx context.Context, stream int, caller *caller, stop time.Time) error {
	group, ctx := errgroup.WithContext(ctx)
	at := time.Now()
	for caller.section.Rate > 0 {
		at = at.Add(time.Duration(caller.random.ExpFloat64() / caller.section.Rate * float64(time.Second)))
		if !at.Before(stop) || !sleepUntil(ctx, at) {
			break
		}
		request := caller.next()
		group.Go(func() error {
			r.send(stream, request)
			return nil
		})
	}
	return group.Wait()
}

// send sends one request and keeps its result.
func (r *runner) send(stream int, request call) Result {
	result := r.client.send(request)
	result.Stream = stream
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	return result
}

// sleepUntil reports false when the context ends first.
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
