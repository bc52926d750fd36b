package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// headerTimeout is the maximum time to read a request's header.
const headerTimeout = time.Second

// Serve serves short requests at the address until the context ends. It then
// closes all connections without waiting for requests in progress, since their
// clients retry. Its errors carry the step.
func Serve(ctx context.Context, address fleet.Address, step fleet.Step, handler http.Handler) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return fleet.Wrap(err, step, address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fleet.Wrap(err, step, address)
	}
	return nil
}
