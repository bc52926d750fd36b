package load

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Headers of the callers' interface.
const (
	headerOutcome   = "Bluebell-Outcome"
	headerRequest   = "Bluebell-Request"
	headerDeadline  = "Bluebell-Deadline"
	headerWork      = "X-Work-Ms"
	headerRequestID = "X-Request-Id"
)

// maxConnections bounds the connections to one router.
const maxConnections = 1 << 15

// Result is what the client recorded of one request.
type Result struct {
	Stream   int // place in the scenario's list of streams
	ID       string
	Verdict  Verdict
	Status   int
	Outcome  fleet.Outcome
	Sent     time.Time
	First    time.Time // first token, or the answer's end
	Answered time.Time
	Between  []time.Duration // between tokens, as they came in
	Retry    time.Duration   // Retry-After
}

// client sends requests to the routers.
type client struct {
	http    *fasthttp.Client
	routers []fleet.Address
}

func newClient(routers []fleet.Address) *client {
	return &client{
		routers: routers,
		http: &fasthttp.Client{
			StreamResponseBody:  true,
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnDuration: time.Minute,
			// A resend by the library would be a second request of the
			// caller's own and would blur what the system did.
			MaxIdemponentCallAttempts: 1,
		},
	}
}

// send sends one request and reads its answer to the end.
func (c *client) send(request call) Result {
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	c.fill(httpRequest, request)
	result := Result{Sent: time.Now()}
	err := c.http.Do(httpRequest, response)
	if err != nil {
		result.Verdict = VerdictNoReply
	} else {
		readResponse(&result, request, response)
	}
	_ = response.CloseBodyStream()
	result.Answered = time.Now()
	if result.First.IsZero() {
		result.First = result.Answered
	}
	return result
}

// fill writes the call into an HTTP request.
func (c *client) fill(httpRequest *fasthttp.Request, request call) {
	stream := request.stream
	path := "/v1/chat/completions"
	if stream.Plain {
		path = "/svc/" + stream.Service + "/work"
		httpRequest.Header.Set(headerWork, strconv.FormatFloat(request.work.Seconds()*1000, 'f', 3, 64))
	}
	httpRequest.SetRequestURI("http://" + string(c.routers[request.router]) + path)
	httpRequest.Header.SetMethod(fasthttp.MethodPost)
	httpRequest.Header.SetContentType("application/json")
	httpRequest.Header.Set("Authorization", "Bearer "+stream.Key)
	if stream.Deadline > 0 {
		httpRequest.Header.Set(headerDeadline, strconv.FormatFloat(stream.Deadline.Seconds(), 'f', -1, 64))
	}
	httpRequest.SetBodyRaw(request.body)
}

// readResponse reads and judges an answer.
func readResponse(result *Result, request call, response *fasthttp.Response) {
	result.Status = response.StatusCode()
	result.Outcome = fleet.Outcome(response.Header.Peek(headerOutcome))
	result.ID = string(response.Header.Peek(headerRequest))
	if result.Status != fasthttp.StatusOK {
		readRefusal(result, response)
		return
	}
	reader := answerReader{request: request, onToken: result.token()}
	body := response.BodyStream()
	if body == nil {
		body = bytes.NewReader(response.Body())
	}
	switch {
	case request.stream.Plain:
		result.Verdict = reader.readPlain(body)
	case request.stream.Whole:
		result.Verdict = reader.readWhole(body)
	default:
		result.Verdict = reader.readStream(body)
	}
	if reader.id != "" {
		result.ID = reader.id
	}
}

// token returns the function that notes the time of each token.
func (r *Result) token() func(time.Time) {
	var last time.Time
	return func(now time.Time) {
		if r.First.IsZero() {
			r.First = now
		} else {
			r.Between = append(r.Between, now.Sub(last))
		}
		last = now
	}
}

func readRefusal(result *Result, response *fasthttp.Response) {
	seconds, _ := strconv.ParseFloat(string(response.Header.Peek("Retry-After")), 64)
	result.Retry = time.Duration(seconds * float64(time.Second))
	_ = response.Body() // read to the end, so that the connection is used again
	switch {
	case result.Outcome == fleet.OutcomeNotRun:
		result.Verdict = VerdictRefused
	case result.Outcome == fleet.OutcomeUnknown:
		result.Verdict = VerdictUnknown
	default:
		result.Verdict = VerdictError
	}
}
