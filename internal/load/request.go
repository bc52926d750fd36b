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

// promptBytesPerToken is the length of a prompt token at the stand-in engine.
const promptBytesPerToken = 4

// call is a request to send.
type call struct {
	stream *StreamSection
	router int // index in the list of routers
	tokens int // of the answer; 0 for a plain call
	work   time.Duration
	body   []byte
}

// generator generates the random requests of a stream.
type generator struct {
	section *StreamSection
	routers []int
	random  *rand.Rand
	shared  string
	sent    int
}

func newGenerator(section *StreamSection, routers int, seed uint64) (*generator, error) {
	indexes, err := routerIndexes(section.Routers, routers)
	if err != nil {
		return nil, err
	}
	return &generator{
		section: section,
		routers: indexes,
		random:  rand.New(rand.NewPCG(seed, uint64(len(section.Name)))),
		shared:  filler(section.Name, section.Shared),
	}, nil
}

// routerIndexes parses indexes in the list of routers; an empty list means all.
func routerIndexes(names []string, routers int) ([]int, error) {
	var indexes []int
	for _, name := range names {
		index, err := strconv.Atoi(name)
		if err != nil || index < 0 || index >= routers {
			return nil, errors.Errorf("%q is not a place in the list of %d routers", name, routers)
		}
		indexes = append(indexes, index)
	}
	for index := 0; len(names) == 0 && index < routers; index++ {
		indexes = append(indexes, index)
	}
	return indexes, nil
}

// next returns the next request.
func (g *generator) next() call {
	request := call{stream: g.section, router: g.routers[g.sent%len(g.routers)]}
	g.sent++
	if g.section.Plain {
		request.work = time.Duration(g.logNormal(float64(g.section.Work)))
		request.body = []byte(filler(strconv.FormatUint(g.random.Uint64(), 36), g.section.Prompt))
		return request
	}
	request.tokens = max(1, int(g.logNormal(float64(g.section.Output))))
	request.body = g.body(request.tokens)
	return request
}

// logNormal returns a log-normally distributed value with the given median.
func (g *generator) logNormal(median float64) float64 {
	return median * math.Exp(g.section.Sigma*g.random.NormFloat64())
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

func (g *generator) body(tokens int) []byte {
	prompt := max(1, int(g.logNormal(float64(g.section.Prompt))))
	own := filler(strconv.FormatUint(g.random.Uint64(), 36), max(1, prompt-g.section.Shared))
	request := modelRequest{
		Model:    g.section.Service,
		Stream:   !g.section.Whole,
		Tokens:   tokens,
		Messages: []modelMessage{{Role: "user", Content: g.shared + own}},
	}
	if g.section.Hint > 0 {
		request.MaxTokens = max(1, int(float64(tokens)*g.section.Hint))
	}
	body, _ := json.Marshal(request) // strings and numbers can always be marshalled
	return body
}

// filler returns a text of the given number of tokens that begins with start.
func filler(start string, tokens int) string {
	length := tokens * promptBytesPerToken
	text := start + strings.Repeat(" word", length/len(" word")+1)
	return text[:length]
}
