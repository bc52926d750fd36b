package gate

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// statusHeaderTimeout bounds the wait for a header at the status ports.
const statusHeaderTimeout = time.Second

// ServeReadiness answers the balancer until the context ends.
func ServeReadiness(ctx context.Context, address fleet.Address, path string, readiness *daemon.Readiness) error {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		reason := readiness.NotReady()
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return serveStatus(ctx, address, mux)
}

// ServeMetrics serves metrics until the context ends.
func ServeMetrics(ctx context.Context, address fleet.Address, gatherer prometheus.Gatherer) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{}))
	return serveStatus(ctx, address, mux)
}

func serveStatus(ctx context.Context, address fleet.Address, handler http.Handler) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return fleet.Wrap(err, fleet.StepAccept, address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: statusHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // status is asked again
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fleet.Wrap(err, fleet.StepAccept, address)
	}
	return nil
}
