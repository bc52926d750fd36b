package platform

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// MaxWatchWait is the maximum time for which the server holds a watch.
const MaxWatchWait = 60 * time.Second

// bodyAllowance is the size by which a request body may exceed MaxObjectBytes,
// so that a slightly oversized object is rejected with ErrTooLarge.
const bodyAllowance = 64 << 10

// Server serves a Store over HTTP, with an admin interface for tests.
type Server struct {
	store  *Store
	http   *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server for the store.
func NewServer(store *Store) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{store: store, ctx: ctx, cancel: cancel}
	server.http = &fasthttp.Server{
		Handler:            server.handle,
		Name:               "standin-platform",
		MaxRequestBodySize: MaxObjectBytes + bodyAllowance,
		CloseOnShutdown:    true,
	}
	return server
}

// Serve answers calls on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(listener), "platform server")
}

// Shutdown ends waiting watches and closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.cancel()
	return errors.WithStack(s.http.ShutdownWithContext(ctx))
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathObject:
		s.handleObject(ctx)
	case pathList:
		s.handleList(ctx)
	case pathWatch:
		s.handleWatch(ctx)
	case pathVMs:
		s.handleVMs(ctx)
	default:
		s.handleAdmin(ctx)
	}
}

func (s *Server) handleObject(ctx *fasthttp.RequestCtx) {
	key := string(ctx.QueryArgs().Peek(argKey))
	if key == "" {
		ctx.Error("argument key is missing", fasthttp.StatusBadRequest)
		return
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		object, err := s.store.Get(s.ctx, key)
		if err != nil {
			writeError(ctx, err)
			return
		}
		setVersion(ctx, object.Version)
		ctx.SetBody(object.Data)
	case fasthttp.MethodPut:
		s.handlePut(ctx, key)
	case fasthttp.MethodDelete:
		s.handleDelete(ctx, key)
	default:
		ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
	}
}

func (s *Server) handlePut(ctx *fasthttp.RequestCtx, key string) {
	expect, ok := versionArg(ctx, argExpect)
	if !ok {
		return
	}
	version, err := s.store.Put(s.ctx, key, ctx.PostBody(), expect)
	if err != nil {
		writeError(ctx, err)
		return
	}
	setVersion(ctx, version)
}

func (s *Server) handleDelete(ctx *fasthttp.RequestCtx, key string) {
	expect, ok := versionArg(ctx, argExpect)
	if !ok {
		return
	}
	if err := s.store.Delete(s.ctx, key, expect); err != nil {
		writeError(ctx, err)
	}
}

func (s *Server) handleList(ctx *fasthttp.RequestCtx) {
	objects, version, err := s.store.List(s.ctx, string(ctx.QueryArgs().Peek(argPrefix)))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, listReply{Version: version, Objects: objects})
}

func (s *Server) handleWatch(ctx *fasthttp.RequestCtx) {
	from, ok := versionArg(ctx, argFrom)
	if !ok {
		return
	}
	millis, err := ctx.QueryArgs().GetUint(argWaitMillis)
	if err != nil {
		ctx.Error("argument wait_ms must be a number of milliseconds", fasthttp.StatusBadRequest)
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, MaxWatchWait)
	prefix := string(ctx.QueryArgs().Peek(argPrefix))
	changes, version, err := s.store.Watch(s.ctx, prefix, from, wait)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, watchReply{Version: version, Changes: changes})
}

func (s *Server) handleVMs(ctx *fasthttp.RequestCtx) {
	vms, err := s.store.VMs(s.ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, vms)
}

// writeError answers a call with an error. For a lost reply it closes the
// connection without a response, which is what a client of a real platform
// would observe.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, ErrOutcomeUnknown) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(connection net.Conn) { _ = connection.Close() })
		return
	}
	ctx.Error(err.Error(), statusFromError(err))
}

func setVersion(ctx *fasthttp.RequestCtx, version Version) {
	ctx.Response.Header.Set(headerVersion, strconv.FormatUint(uint64(version), 10))
}

func versionArg(ctx *fasthttp.RequestCtx, name string) (Version, bool) {
	version, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
	if err != nil {
		ctx.Error("argument "+name+" must be a version", fasthttp.StatusBadRequest)
		return 0, false
	}
	return Version(version), true
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
