package router

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Headers of the callers' interface.
const (
	headerRequest    = "Bluebell-Request"
	headerOutcome    = "Bluebell-Outcome"
	headerDeadline   = "Bluebell-Deadline"
	headerIdempotent = "Bluebell-Idempotent"
	headerKey        = "Idempotency-Key"
)

// Error types as clients of such interfaces know them.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// errorBody is the JSON body of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Param   *string       `json:"param"`
	Code    string        `json:"code"`
	Outcome fleet.Outcome `json:"outcome"`
}

func encodeError(status int, code, message string, outcome fleet.Outcome) []byte {
	body := errorBody{Error: errorDetail{
		Message: message,
		Type:    errorType(status),
		Code:    code,
		Outcome: outcome,
	}}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings always encode
	}
	return encoded
}

func errorType(status int) string {
	switch {
	case status == fiber.StatusUnauthorized:
		return typeAuthentication
	case status == fiber.StatusTooManyRequests:
		return typeRateLimit
	case status < fiber.StatusInternalServerError:
		return typeInvalidRequest
	default:
		return typeServer
	}
}

// writeResult writes the final answer to a request that has none of a backend
// server.
func writeResult(response *fasthttp.Response, result Result) {
	if result.RetryAfter > 0 {
		seconds := int(math.Ceil(result.RetryAfter.Seconds()))
		response.Header.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	response.Header.Set(headerOutcome, string(result.Outcome))
	response.Header.SetContentType(fiber.MIMEApplicationJSON)
	response.SetStatusCode(result.Status)
	response.SetBodyRaw(encodeError(result.Status, string(result.Code), result.Message, result.Outcome))
}

// streamEnd is the last part of a streamed answer. A stream's outcome is known
// at its end only, so it stands there, as a comment that clients skip; a stream
// that broke off ends with an error event and no clean end.
func streamEnd(result Result) []byte {
	if result.Outcome == fleet.OutcomeCompleted {
		return []byte(": bluebell-outcome completed\n\n")
	}
	event := append([]byte("event: error\ndata: "), encodeError(result.Status, string(result.Code), result.Message, result.Outcome)...)
	event = append(event, "\n\n: bluebell-outcome "...)
	event = append(event, result.Outcome...)
	return append(event, '\n', '\n')
}
