package measurepath

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// LatencyFigures compare calls through the router with direct ones.
type LatencyFigures struct {
	Calls    int     `json:"calls"`
	AddedP50 float64 `json:"added_p50_us"` // difference of the two quantiles
	AddedP99 float64 `json:"added_p99_us"`
	// The direct calls show the load of the machine.
	DirectP50 float64 `json:"direct_p50_us"`
	DirectP99 float64 `json:"direct_p99_us"`
}

// Latency makes calls one at a time, alternately to the backend server and
// through router and agent, so that both see the same load of the machine.
func Latency(ctx context.Context, routed Target, directURL string, calls int) (LatencyFigures, error) {
	if calls < 1 {
		return LatencyFigures{}, errors.New("at least one call is needed")
	}
	direct := routed
	direct.URL = directURL
	var directTimes, routedTimes []time.Duration
	for range calls {
		took, err := direct.call(ctx, http.DefaultClient)
		if err != nil {
			return LatencyFigures{}, err
		}
		directTimes = append(directTimes, took)
		if took, err = routed.call(ctx, http.DefaultClient); err != nil {
			return LatencyFigures{}, err
		}
		routedTimes = append(routedTimes, took)
	}
	added := func(at float64) float64 {
		return microseconds(quantile(routedTimes, at) - quantile(directTimes, at))
	}
	return LatencyFigures{
		Calls:     calls,
		AddedP50:  added(0.5),
		AddedP99:  added(0.99),
		DirectP50: microseconds(quantile(directTimes, 0.5)),
		DirectP99: microseconds(quantile(directTimes, 0.99)),
	}, nil
}

func quantile(times []time.Duration, at float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(at*float64(len(sorted))))]
}

func microseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) }
