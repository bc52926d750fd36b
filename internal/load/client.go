package load

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Headers of the routers' interface for callers.
const (
	headerOutcome   = "Bluebell-Outcome"
	headerRequest   = "Bluebell-Request"
	headerDeadline  = "Bluebell-Deadline"
	headerWork      = "X-Work-Ms"
	headerRequestID = "X-Request-Id"
)

// maxConnections is the maximum number of connections to a router.
const maxConnections = 1 << 15

// Result is the client's record of a request.
type Result struct {
	Stream     int // index in the scenario's list of streams
	ID         string
	Verdict    Verdict
	Status     int
	Outcome    fleet.Outcome
	Sent       time.Time
	First      time.Time // first token, or else the answer's end
	Answered   time.Time
	TokenGaps  []time.Duration // times between tokens
	RetryAfter time.Duration   // from the Retry-After header
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
			// A retry by the library would look like a second request of the
			// caller and hide how the routers handled the first.
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

// readResponse reads an answer and sets the result's verdict.
func readResponse(result *Result, request call, response *fasthttp.Response) {
	result.Status = response.StatusCode()
	result.Outcome = fleet.Outcome(response.Header.Peek(headerOutcome))
	result.ID = string(response.Header.Peek(headerRequest))
	if result.Status != fasthttp.StatusOK {
		readRefusal(result, response)
		return
	}
	reader := answerReader{request: request, onToken: result.tokenRecorder()}
	body := response.BodyStream()
	if body == nil {
		body = bytes.NewReader(response.Body())
	}
	switch {
	case request.stream.Plain:
		result.Verdict = reader.readPlain(body)
	case request.stream.Whole:
		result.Verdict = reader.readDocument(body)
	default:
		result.Verdict = reader.readStream(body)
	}
	if reader.id != "" {
		result.ID = reader.id
	}
}

// tokenRecorder returns a function that records the time of each token.
func (r *Result) tokenRecorder() func(time.Time) {
	var last time.Time
	return func(now time.Time) {
		if r.First.IsZero() {
			r.First = now
		} else {
			r.TokenGaps = append(r.TokenGaps, now.Sub(last))
		}
		last = now
	}
}

func readRefusal(result *Result, response *fasthttp.Response) {
	seconds, _ := strconv.ParseFloat(string(response.Header.Peek("Retry-After")), 64)
	result.RetryAfter = time.Duration(seconds * float64(time.Second))
	_ = response.Body() // read to the end, so that the connection is reused
	switch {
	case result.Outcome == fleet.OutcomeNotRun:
		result.Verdict = VerdictRefused
	case result.Outcome == fleet.OutcomeUnknown:
		result.Verdict = VerdictUnknown
	default:
		result.Verdict = VerdictError
	}
}
