package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"text/template"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// The services of the sample.
const (
	modelService fleet.Service = "sample-lm"
	plainService fleet.Service = "sample-app"
)

// API keys of the two client accounts. They are valid in this process only.
const (
	kitchenKey = "kitchen-key"
	trackKey   = "track-key"
)

// settingsText returns the sample settings tree, in which kitchen has twice the
// share of track.
func settingsText() []byte {
	return fmt.Appendf(nil, `[/]
default_deadline = 30s

[sample]
queue_requests = 100

[sample/daily/kitchen]
weight = 2
api_key_sha256 = %x

[sample/daily/track]
weight = 1
api_key_sha256 = %x

[services/%s]
kind = model
idempotent = true

[services/%s]
kind = plain
`, sha256.Sum256([]byte(kitchenKey)), sha256.Sum256([]byte(trackKey)), modelService, plainService)
}

var welcome = template.Must(template.New("welcome").Parse(`A fleet runs in this process: one router, two model engines, one plain service.
Client accounts: sample/daily/kitchen (key {{.Kitchen}}, weight 2) and sample/daily/track (key {{.Track}}, weight 1).

Ask the model:
  curl -s http://{{.Callers}}/v1/chat/completions -H 'Authorization: Bearer {{.Kitchen}}' -H 'Content-Type: application/json' -d '{"model":"{{.Model}}","x_tokens":20,"messages":[{"role":"user","content":"Scale the lamb stew to 400 portions."}]}'

The same as a stream, with the headers that tell the outcome:
  curl -sNi http://{{.Callers}}/v1/chat/completions -H 'Authorization: Bearer {{.Track}}' -H 'Content-Type: application/json' -d '{"model":"{{.Model}}","stream":true,"x_tokens":20,"messages":[{"role":"user","content":"Who won heat 3?"}]}'

Call the plain service; with the same key it runs once, however often it is sent:
  curl -si http://{{.Callers}}/svc/{{.Plain}}/crossings -H 'Authorization: Bearer {{.Track}}' -H 'Idempotency-Key: {{.Key}}' -d '{"transponder":4711}'

Metrics of the router: curl -s http://{{.Control}}/metrics
Nodes of the fleet:
  go run ./cmd/bluebellctl --platform {{.Platform}} --token {{.Token}} status

Ctrl-C ends it; nothing is kept.
`))

// welcomeValues are the values shown in the welcome text.
type welcomeValues struct {
	Kitchen, Track             string
	Callers, Control, Platform fleet.Address
	Model, Plain               fleet.Service
	Key                        string // a fresh Idempotency-Key
	Token                      string // of the control messages
}

func printWelcome(out io.Writer, values welcomeValues) {
	values.Kitchen, values.Track = kitchenKey, trackKey
	values.Model, values.Plain = modelService, plainService
	values.Key = newKey()
	values.Token = controlToken
	_ = welcome.Execute(out, values)
}
