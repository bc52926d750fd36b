package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

const (
	twirpPrefix = "/twirp/"
	healthPath  = "/healthz"
	// maxBodyBytes bounds a control message. The largest ones carry chunks of
	// the settings tree.
	maxBodyBytes = 8 << 20
	// headerTimeout bounds the time to read a request's header, so that a slow
	// client can't hold connections open.
	headerTimeout = 2 * time.Second
	// serverIdleTimeout is longer than the clients' idleTimeout, so that clients
	// close first: a call never fails on a connection that the server has just
	// closed.
	serverIdleTimeout = 3 * idleTimeout
	// shutdownTimeout bounds the wait for calls in progress at shutdown.
	shutdownTimeout = time.Second
)

// Readiness reports whether a node should receive work.
type Readiness interface {
	// NotReady returns the reason why the node isn't ready, or "" if it is.
	NotReady() string
}

// ServerConfig holds the configuration and dependencies of a Server.
type ServerConfig struct {
	Address   fleet.Address
	Token     string // shared by all nodes of the fleet
	Metrics   *Metrics
	Gatherer  prometheus.Gatherer // for /metrics
	Readiness Readiness           // for /readyz
}

// Server serves a node's control port.
type Server struct {
	config   ServerConfig
	token    token
	mux      *http.ServeMux
	listener net.Listener
}

// NewServer returns a Server. Until services are registered, it serves only
// metrics and health checks.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config, token: newToken(config.Token), mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", promhttp.HandlerFor(config.Gatherer, promhttp.HandlerOpts{}))
	s.mux.HandleFunc("GET "+healthPath, s.serveHealth)
	s.mux.HandleFunc("GET /readyz", s.serveReady)
	return s
}

// Register adds a twirp service. It must not be called after Run.
func (s *Server) Register(service rpc.TwirpServer) {
	s.mux.Handle(service.PathPrefix(), s.requireToken(service))
}

// Listen opens the control port. Run calls it if it hasn't been called.
func (s *Server) Listen() error {
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", string(s.config.Address))
	if err != nil {
		return errors.Wrap(err, "control port")
	}
	s.listener = countingListener{Listener: listener, metrics: s.config.Metrics}
	return nil
}

// Run serves until the context ends, then waits for the calls in progress.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	server := &http.Server{
		Handler:           s.countBodies(s.mux),
		Protocols:         serverProtocols(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "control port")
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdown); err != nil {
		return errors.Wrap(server.Close(), "control port")
	}
	return nil
}

// serverProtocols returns HTTP/2, for nodes, and HTTP/1, for scrapers and operators.
func serverProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// dateHeader is suppressed by a nil value: it changes each second, so HTTP/2 can't
// compress it, and no node reads it.
const dateHeader = "Date"

// countBodies counts the bytes of all bodies by class and limits their size.
func (s *Server) countBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		class := classOfPath(r.URL.Path)
		w.Header()[dateHeader] = nil
		bounded := http.MaxBytesReader(w, r.Body, maxBodyBytes)
		r.Body = countingBody{ReadCloser: bounded, metrics: s.config.Metrics, class: class}
		next.ServeHTTP(countingWriter{ResponseWriter: w, metrics: s.config.Metrics, class: class}, r)
	})
}

// requireToken rejects calls without the fleet's token. Without it, anyone who
// reaches the port could drain servers and read settings with key hashes.
func (s *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.token.accepts(r.Header) {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "the control token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.config.Readiness.NotReady(); reason != "" {
		http.Error(w, fmt.Sprintf("not ready: %s", reason), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
