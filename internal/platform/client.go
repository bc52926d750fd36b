package platform

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/answerhead"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// The timeouts of a Client. A watch adds its wait to the call timeout.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultDialTimeout = 1 * time.Second
	// idleConnectionTimeout is shorter than the usual idle timeout of servers,
	// so that a write seldom uses a connection that the server has closed.
	idleConnectionTimeout = 5 * time.Second
)

// Client calls the platform over HTTP. It is safe for concurrent use and never
// retries: repeating a conditional write would turn a lost reply into a
// conflict with the caller's own change.
type Client struct {
	address     fleet.Address
	callTimeout time.Duration
	http        *fasthttp.HostClient
}

var _ API = (*Client)(nil)

// ClientOptions configure a Client. The zero value is ready for use.
type ClientOptions struct {
	CallTimeout time.Duration // 0 is DefaultCallTimeout
}

// NewClient returns a client of the platform at an address.
func NewClient(address fleet.Address, options ClientOptions) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	return &Client{
		address:     address,
		callTimeout: options.CallTimeout,
		http: &fasthttp.HostClient{
			Addr:                      string(address),
			Dial:                      dial,
			MaxIdleConnDuration:       idleConnectionTimeout,
			MaxIdemponentCallAttempts: 1,
			StreamResponseBody:        true, // the framing is not known of a body that was read
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
}

// errDial marks a call that never reached the platform.
var errDial = errors.New("dial failed")

func dial(address string) (net.Conn, error) {
	connection, err := fasthttp.DialTimeout(address, DefaultDialTimeout)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	return answerhead.NewConn(connection), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements API.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	args := &fasthttp.Args{}
	args.Set(argKey, key)
	reply, err := c.do(ctx, call{method: fasthttp.MethodGet, path: pathObject, args: args})
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: reply.version, Data: reply.body}, nil
}

// Put implements API.
func (c *Client) Put(ctx context.Context, key string, data []byte, expect Version) (Version, error) {
	args := &fasthttp.Args{}
	args.Set(argKey, key)
	args.Set(argExpect, formatVersion(expect))
	reply, err := c.do(ctx, call{method: fasthttp.MethodPut, path: pathObject, args: args, body: data, write: true})
	return reply.version, err
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	args := &fasthttp.Args{}
	args.Set(argKey, key)
	args.Set(argExpect, formatVersion(expect))
	_, err := c.do(ctx, call{method: fasthttp.MethodDelete, path: pathObject, args: args, write: true})
	return err
}

// List implements API.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, Version, error) {
	args := &fasthttp.Args{}
	args.Set(argPrefix, prefix)
	var listed listReply
	err := c.read(ctx, call{method: fasthttp.MethodGet, path: pathList, args: args}, &listed)
	return listed.Objects, listed.Version, err
}

// Watch implements API.
func (c *Client) Watch(ctx context.Context, prefix string, from Version, wait time.Duration) ([]Change, Version, error) {
	args := &fasthttp.Args{}
	args.Set(argPrefix, prefix)
	args.Set(argFrom, formatVersion(from))
	args.SetUint(argWaitMillis, int(wait.Milliseconds()))
	var watched watchReply
	err := c.read(ctx, call{method: fasthttp.MethodGet, path: pathWatch, args: args, wait: wait}, &watched)
	return watched.Changes, watched.Version, err
}

// VMs implements API.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.read(ctx, call{method: fasthttp.MethodGet, path: pathVMs, args: &fasthttp.Args{}}, &vms)
	return vms, err
}

func (c *Client) read(ctx context.Context, request call, into any) error {
	reply, err := c.do(ctx, request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(reply.body, into); err != nil {
		return errors.Wrapf(ErrUnavailable, "%s: invalid reply: %v", c.describe(request), err)
	}
	return nil
}

func formatVersion(version Version) string { return strconv.FormatUint(uint64(version), 10) }
