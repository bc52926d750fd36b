package gate

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// Guards against memory that is taken beyond the limit, or that stays reserved when requests have
// ended.
func TestMemoryBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		var budget memoryBudget
		parts := make([]int64, 5)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			part := &parts[rapid.IntRange(0, len(parts)-1).Draw(t, "request")]
			if rapid.IntRange(0, 4).Draw(t, "end") == 0 {
				budget.release(part)
				continue
			}
			before := *part
			size := rapid.Int64Range(-10, limit+10).Draw(t, "size")
			granted := budget.grow(part, size, limit)
			if !granted && *part != before || granted && *part != max(before, size) {
				t.Fatalf("%d after %d for %d, granted %v", *part, before, size, granted)
			}
			sum := int64(0)
			for _, part := range parts {
				sum += part
			}
			if sum > limit || sum != budget.reserved.Load() {
				t.Fatalf("%d in use, %d reserved", sum, budget.reserved.Load())
			}
		}
	})
}

// Guards against short bodies that each take a buffer for a longer one.
func TestBufferOfABodyFitsItsStatedLength(t *testing.T) {
	h := &handler{settings: newCurrentSettings(Settings{BodyMemory: 1 << 20})}
	for _, size := range []int{1, 4, 900, 4095, 4096, 4097, 5000, 65_536} {
		body := strings.Repeat("x", size)
		request := &Request{Timeout: time.Second}
		var held int64
		refusal := h.readWholeBody(httptest.NewRecorder(), httptest.NewRequest("POST", "/x", strings.NewReader(body)), request, 0, &held)
		if refusal != nil || string(request.Body) != body {
			t.Fatalf("%d bytes: refused with %v, or changed", size, refusal)
		}
		if room := cap(request.Body) - size; room > bytes.MinRead || held < int64(cap(request.Body)) {
			t.Errorf("%d bytes: the buffer has room for %d more, and %d are held", size, room, held)
		}
	}
}

// Guards against a body of the allowed length that takes twice its memory, as its end shows in a read
// for which a full buffer has no room.
func TestBufferOfALongBodyWithoutALengthFitsTheLimit(t *testing.T) {
	const limit = 64 << 10
	h := &handler{settings: newCurrentSettings(Settings{BodyMemory: 1 << 20})}
	for _, size := range []int{limit - 1, limit, limit + 1} {
		sent := httptest.NewRequest("POST", "/x", io.MultiReader(strings.NewReader(strings.Repeat("x", size)))) // states no length
		request := &Request{Timeout: time.Second}
		var held int64
		refusal := h.readWholeBody(httptest.NewRecorder(), sent, request, limit, &held)
		if whole := refusal == nil && len(request.Body) == size; whole != (size <= limit) || held > limit+1 {
			t.Errorf("%d bytes, %d allowed: refused with %v, %d are held", size, limit, refusal, held)
		}
	}
}

// Guards against refusals of the other accounts: requests whose bodies find no memory were counted as
// requested, and as none of them was granted, the engines seemed to do less than they can.
func TestRequestsWithoutTheirBodiesAreNotRequested(t *testing.T) {
	manager, _ := listeningGate(t, 10)
	h := manager.handler
	h.dialect = promptDialect{}
	view := knownView(boottime.Now())
	h.state.SetConfiguration(view.Index.Configuration, boottime.Now())
	h.state.SetBackends(nil, knowledge.Position{Revision: 1}, boottime.Now())
	for _, test := range []struct {
		name   string
		memory int64
		end    error // of the body
		want   float64
	}{
		{"no memory", 0, io.EOF, 0},
		{"broken off", 1 << 20, io.ErrUnexpectedEOF, 0},
		{"whole", 1 << 20, io.EOF, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			h.settings.set(Settings{Freshness: Freshness{KeyMaxAge: time.Minute, DenialMaxAge: time.Minute}, BodyMemory: test.memory})
			before := manager.Usages()["kitchen"].Requested
			body := io.MultiReader(strings.NewReader("body"), iotest.ErrReader(test.end))
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://h/a/x", body))
			if got := manager.Usages()["kitchen"].Requested - before; math.Abs(got-test.want) > 1 {
				t.Errorf("the account requested %v tokens more, want about %v", got, test.want)
			}
		})
	}
}
