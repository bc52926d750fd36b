package load

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// promptBytesPerToken is how the stand-in engine counts prompt tokens.
const promptBytesPerToken = 4

// call is one request before it is sent.
type call struct {
	stream *StreamSection
	router int // place in the list of routers
	tokens int // of the answer; 0 for a plain call
	work   time.Duration
	body   []byte
}

// caller draws the requests of one stream.
type caller struct {
	section *StreamSection
	places  []int
	random  *rand.Rand
	shared  string
	sent    int
}

func newCaller(section *StreamSection, routers int, seed uint64) (*caller, error) {
	places, err := routerPlaces(section.Routers, routers)
	if err != nil {
		return nil, err
	}
	return &caller{
		section: section,
		places:  places,
		random:  rand.New(rand.NewPCG(seed, uint64(len(section.Name)))),
		shared:  filler(section.Name, section.Shared),
	}, nil
}

// routerPlaces reads the places in the list of routers; none means all.
func routerPlaces(names []string, routers int) ([]int, error) {
	var places []int
	for _, name := range names {
		place, err := strconv.Atoi(name)
		if err != nil || place < 0 || place >= routers {
			return nil, errors.Errorf("%q is not a place in the list of %d routers", name, routers)
		}
		places = append(places, place)
	}
	for place := 0; len(names) == 0 && place < routers; place++ {
		places = append(places, place)
	}
	return places, nil
}

// next draws a request.
func (c *caller) next() call {
	request := call{stream: c.section, router: c.places[c.sent%len(c.places)]}
	c.sent++
	if c.section.Plain {
		request.work = time.Duration(c.draw(float64(c.section.Work)))
		request.body = []byte(filler(strconv.FormatUint(c.random.Uint64(), 36), c.section.Prompt))
		return request
	}
	request.tokens = max(1, int(c.draw(float64(c.section.Output))))
	request.body = c.body(request.tokens)
	return request
}

// draw draws from a log-normal distribution.
func (c *caller) draw(median float64) float64 {
	return median * math.Exp(c.section.Sigma*c.random.NormFloat64())
}

// modelRequest is the body of a model request.
type modelRequest struct {
	Model     string         `json:"model"`
	Stream    bool           `json:"stream"`
	MaxTokens int            `json:"max_tokens,omitempty"`
	Tokens    int            `json:"x_tokens"`
	Messages  []modelMessage `json:"messages"`
}

type modelMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *caller) body(tokens int) []byte {
	prompt := max(1, int(c.draw(float64(c.section.Prompt))))
	own := filler(strconv.FormatUint(c.random.Uint64(), 36), max(1, prompt-c.section.Shared))
	request := modelRequest{
		Model:    c.section.Service,
		Stream:   !c.section.Whole,
		Tokens:   tokens,
		Messages: []modelMessage{{Role: "user", Content: c.shared + own}},
	}
	if c.section.Hint > 0 {
		request.MaxTokens = max(1, int(float64(tokens)*c.section.Hint))
	}
	body, _ := json.Marshal(request) // strings and numbers cannot fail
	return body
}

// filler is a text of a number of tokens that begins with start.
func filler(start string, tokens int) string {
	length := tokens * promptBytesPerToken
	text := start + strings.Repeat(" word", length/len(" word")+1)
	return text[:length]
}
