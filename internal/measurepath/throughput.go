package measurepath

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// ThroughputFigures are the CPU costs of plain calls at a router.
type ThroughputFigures struct {
	Calls           int     `json:"calls"`
	PerSecond       float64 `json:"requests_per_second"`
	PerCoreSecond   float64 `json:"requests_per_core_second"`
	Cores           float64 `json:"cores"` // mean number of cores that the router used
	CPUMicroseconds float64 `json:"cpu_us_per_request"`
	Seconds         float64 `json:"seconds"`
}

// Throughput makes calls from concurrent callers and relates their number to the
// router's CPU time. It returns an error as soon as a call fails.
func Throughput(ctx context.Context, target Target, metrics string, calls, callers int) (ThroughputFigures, error) {
	if calls < 1 || callers < 1 {
		return ThroughputFigures{}, errors.New("at least one call and one caller are needed")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	before, err := readMetric(ctx, metrics, metricCPU)
	if err != nil {
		return ThroughputFigures{}, err
	}
	start := time.Now()
	group, running := errgroup.WithContext(ctx)
	for caller := range callers {
		group.Go(func() error {
			for n := caller; n < calls; n += callers {
				if _, err := target.call(running, client); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return ThroughputFigures{}, err
	}
	seconds := time.Since(start).Seconds()
	after, err := readMetric(ctx, metrics, metricCPU)
	if err != nil {
		return ThroughputFigures{}, err
	}
	used := after - before
	if used <= 0 {
		return ThroughputFigures{}, errors.New("too few calls: the router's CPU time did not change")
	}
	return ThroughputFigures{
		Calls:           calls,
		PerSecond:       float64(calls) / seconds,
		PerCoreSecond:   float64(calls) / used,
		Cores:           used / seconds,
		CPUMicroseconds: 1e6 * used / float64(calls),
		Seconds:         seconds,
	}, nil
}
