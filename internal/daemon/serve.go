package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// headerTimeout and requestTimeout are the maximum times to read a request's header and all
	// of it.
	headerTimeout  = time.Second
	requestTimeout = 5 * time.Second
	// idleTimeout is how long a connection is kept without a request.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
)

// Serve serves short requests at the address until the context ends. It then
// closes all connections without waiting for requests in progress, since their
// clients retry. Its errors carry the step.
func Serve(ctx context.Context, address fleet.Address, step fleet.Step, handler http.Handler) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return fleet.Wrap(err, step, address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fleet.Wrap(err, step, address)
	}
	return nil
}
