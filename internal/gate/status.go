package gate

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// ServeReadiness answers the load balancer's readiness checks until the context ends.
func ServeReadiness(ctx context.Context, address fleet.Address, path string, readiness *daemon.Readiness) error {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		reason := readiness.Check()
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return daemon.Serve(ctx, address, fleet.StepAccept, mux)
}

// ServeMetrics serves metrics until the context ends.
func ServeMetrics(ctx context.Context, address fleet.Address, gatherer prometheus.Gatherer) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	return daemon.Serve(ctx, address, fleet.StepAccept, mux)
}
