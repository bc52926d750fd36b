package router

import (
	"crypto/sha256"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

const (
	// maxKeyLength bounds an Idempotency-Key.
	maxKeyLength = 255
	// fallbackDeadline stands in when neither caller nor settings name one.
	fallbackDeadline = time.Minute
	// prefixBytes of the body decide which requests share a beginning.
	prefixBytes = 1024
	// bytesPerToken estimates the prompt's tokens from its size.
	bytesPerToken = 4
)

// badRequest is a mistake of the caller.
type badRequest struct {
	status  int
	code    string
	message string
}

func (e *badRequest) Error() string { return e.message }

func bad(status int, code, message string) *badRequest {
	return &badRequest{status: status, code: code, message: message}
}

// modelFields are the fields of a model call that the router reads.
type modelFields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           uint64 `json:"max_tokens"`
	MaxCompletionTokens uint64 `json:"max_completion_tokens"`
}

// authenticate returns the client account of the API key in the header
// Authorization.
func authenticate(header string, view settings.View) (fleet.Account, *badRequest) {
	const scheme = "Bearer "
	if view == nil {
		return "", bad(fiber.StatusServiceUnavailable, "starting", "this router has no settings yet")
	}
	if len(header) <= len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return "", bad(fiber.StatusUnauthorized, "missing_api_key", "the header Authorization: Bearer <key> is required")
	}
	hash := settings.KeyHash(sha256.Sum256([]byte(header[len(scheme):])))
	account, ok := view.AccountByKey(hash)
	if !ok {
		return "", bad(fiber.StatusUnauthorized, "invalid_api_key", "the API key is not known")
	}
	return account, nil
}

// buildRequest reads a caller's request for a service.
func buildRequest(c *fiber.Ctx, view settings.View, account fleet.Account, service settings.ServicePolicy, path string) (*Request, *badRequest) {
	body := c.BodyRaw()
	if service.MaxRequestBytes > 0 && int64(len(body)) > service.MaxRequestBytes {
		return nil, bad(fiber.StatusRequestEntityTooLarge, "request_too_large", "the body is larger than the service permits")
	}
	now := time.Now()
	request := &Request{
		ID:         newRequestID(),
		Account:    account,
		Service:    service.Service,
		Arrived:    now,
		Idempotent: service.Idempotent,
	}
	policy, _ := view.Account(account)
	if err := readDeadline(c, request, policy, service); err != nil {
		return nil, err
	}
	if err := readIdempotence(c, request); err != nil {
		return nil, err
	}
	request.Fingerprint = fingerprint(account, path, body)
	if len(body) >= prefixBytes {
		request.Prefix = xxhash.Sum64(body[:prefixBytes])
	}
	if request.Key != "" {
		request.BodyHash = sha256.Sum256(body)
	}
	return request, nil
}

func readDeadline(c *fiber.Ctx, request *Request, account settings.AccountPolicy, service settings.ServicePolicy) *badRequest {
	wait := account.DefaultDeadline
	if wait <= 0 {
		wait = service.DefaultDeadline
	}
	if wait <= 0 {
		wait = fallbackDeadline
	}
	if header := c.Get(headerDeadline); header != "" {
		seconds, err := strconv.ParseFloat(header, 64)
		if err != nil || !(seconds > 0) || seconds > 1e6 {
			return bad(fiber.StatusBadRequest, "invalid_deadline", "the header Bluebell-Deadline must be a number of seconds above 0")
		}
		wait = time.Duration(seconds * float64(time.Second))
	}
	if account.MaxDeadline > 0 {
		wait = min(wait, account.MaxDeadline)
	}
	request.Deadline = request.Arrived.Add(wait)
	return nil
}

func readIdempotence(c *fiber.Ctx, request *Request) *badRequest {
	switch header := c.Get(headerIdempotent); header {
	case "":
	case "true":
		request.Idempotent = true
	case "false":
		request.Idempotent = false
	default:
		return bad(fiber.StatusBadRequest, "invalid_idempotent", "the header Bluebell-Idempotent must be true or false")
	}
	key := c.Get(headerKey)
	if len(key) > maxKeyLength || !printable(key) {
		return bad(fiber.StatusBadRequest, "invalid_idempotency_key", "the header Idempotency-Key must be at most 255 printable ASCII characters")
	}
	request.Key = strings.Clone(key)
	return nil
}

func printable(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func fingerprint(account fleet.Account, path string, body []byte) Fingerprint {
	digest := sha256.New()
	digest.Write([]byte(account))
	digest.Write([]byte{0})
	digest.Write([]byte(path))
	digest.Write([]byte{0})
	digest.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(digest.Sum(sum[:0])[:16])
}

// readModel reads the fields of a model call.
func readModel(body []byte) (modelFields, *badRequest) {
	var fields modelFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return fields, bad(fiber.StatusBadRequest, "invalid_json", "the body is not valid JSON of a model call: "+err.Error())
	}
	if fields.Model == "" {
		return fields, bad(fiber.StatusBadRequest, "missing_model", "the field model is required")
	}
	return fields, nil
}

// estimateCost is the hint for a model call's cost, in cost units.
func estimateCost(service settings.ServicePolicy, fields modelFields, bodyBytes int) uint64 {
	prompt := float64(bodyBytes/bytesPerToken) * service.PromptCost
	tokens := max(fields.MaxTokens, fields.MaxCompletionTokens)
	return uint64(prompt + float64(tokens)*service.TokenCost)
}

// encodePayload encodes the fields of rpc.RunRequest that are the same for
// every attempt. It copies what it needs of the HTTP request.
func encodePayload(c *fiber.Ctx, request *Request, path string) ([]byte, *badRequest) {
	id := request.ID
	message := &rpc.RunRequest{
		RequestId:      id[:],
		Account:        string(request.Account),
		Service:        string(request.Service),
		DeadlineMs:     request.Deadline.UnixMilli(),
		Idempotent:     request.Idempotent,
		EstimatedCost:  request.Cost,
		Fingerprint:    request.Fingerprint[:],
		Method:         c.Method(),
		Path:           path,
		Headers:        forwardedHeaders(c),
		Body:           c.BodyRaw(),
		Stream:         request.Stream,
		IdempotencyKey: request.Key,
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil, bad(fiber.StatusBadRequest, "invalid_header", "a header or the path is not valid UTF-8")
	}
	return encoded, nil
}

// forwardedHeaders returns the headers that the backend server gets.
func forwardedHeaders(c *fiber.Ctx) []*rpc.Header {
	var headers []*rpc.Header
	for name, value := range c.Request().Header.All() {
		if keepsBack(string(name)) {
			continue
		}
		headers = append(headers, &rpc.Header{Name: string(name), Value: string(value)})
	}
	return headers
}

// keepsBack tells whether a header belongs to one connection, to the router,
// or is the caller's secret.
func keepsBack(name string) bool {
	name = strings.ToLower(name)
	if fleet.IsHopByHop(name) {
		return true
	}
	switch name {
	case "expect", "authorization", "idempotency-key",
		"bluebell-deadline", "bluebell-idempotent", "bluebell-request", "bluebell-outcome":
		return true
	}
	return false
}
