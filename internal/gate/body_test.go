package gate

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
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

// Guards against accounts that keep out one that holds nothing yet, and against memory for bodies that
// is taken beyond the limit or stays reserved.
func TestBodyMemoryIsSharedByAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1 << 20
		var memory bodyMemory
		holds := make([]bodyHold, 30)
		for i := range holds {
			account := fleet.Account(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "account")))
			holds[i] = memory.hold(&Request{Account: &knowledge.Account{Name: account}})
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			hold := &holds[rapid.IntRange(0, len(holds)-1).Draw(t, "request")]
			if rapid.IntRange(0, 4).Draw(t, "end") == 0 {
				hold.release()
				continue
			}
			before, size := hold.part, rapid.Int64Range(1, total/2).Draw(t, "size")
			if granted := hold.grow(size, total); granted && hold.part != max(before, size) || !granted && hold.part != before {
				t.Fatalf("%d after %d for %d, granted %v", hold.part, before, size, granted)
			}
			parts := make(map[fleet.Account]int64)
			for _, hold := range holds {
				parts[hold.account] += hold.part
			}
			sum := lo.Sum(lo.Values(parts))
			if sum > total || sum != memory.reserved {
				t.Fatalf("%d in use, %d reserved", sum, memory.reserved)
			}
			for account, part := range parts {
				if part != memory.accounts[account] || float64(part) > smallAccountShare*total {
					t.Fatalf("%s holds %d of %d, %d by the sum", account, part, total, memory.accounts[account])
				}
			}
			newcomer := memory.hold(&Request{})
			if !newcomer.grow(firstBodyBytes/4, total) {
				t.Fatalf("one that holds nothing gets nothing, %v are held", parts)
			}
			newcomer.release()
		}
		for i := range holds {
			holds[i].release()
		}
		if memory.reserved != 0 || len(memory.accounts) != 0 {
			t.Fatalf("%d reserved for %v in the end", memory.reserved, memory.accounts)
		}
	})
}

// Guards against an account that can hardly use the memory while it is the only one.
func TestAccountAloneUsesMostOfTheBodyMemory(t *testing.T) {
	const total = 32 << 20
	var memory bodyMemory
	held := func(size int64) int64 {
		for granted := true; granted; {
			hold := memory.hold(&Request{})
			granted = hold.grow(size, total)
		}
		return memory.reserved
	}
	if large := held(4 << 20); large < total*largeAccountShare {
		t.Errorf("%d of %d bytes are held by large bodies", large, total)
	}
	if all := held(firstBodyBytes); all < total*smallAccountShare-firstBodyBytes {
		t.Errorf("%d of %d bytes are held", all, total)
	}
}

// Guards against short bodies that each take a buffer for a longer one.
func TestBufferOfABodyFitsItsStatedLength(t *testing.T) {
	h := &handler{settings: newCurrentSettings(Settings{BodyMemory: 1 << 20})}
	for _, size := range []int{1, 4, 900, 4095, 4096, 4097, 5000, 65_536} {
		body := strings.Repeat("x", size)
		request := &Request{Timeout: time.Second}
		held := h.bodyMemory.hold(request)
		refusal := h.readWholeBody(httptest.NewRecorder(), httptest.NewRequest("POST", "/x", strings.NewReader(body)), request, 0, &held)
		if refusal != nil || string(request.Body) != body {
			t.Fatalf("%d bytes: refused with %v, or changed", size, refusal)
		}
		if room := cap(request.Body) - size; room > bytes.MinRead || held.part < int64(cap(request.Body)) {
			t.Errorf("%d bytes: the buffer has room for %d more, and %d are held", size, room, held.part)
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
		held := h.bodyMemory.hold(request)
		refusal := h.readWholeBody(httptest.NewRecorder(), sent, request, limit, &held)
		if whole := refusal == nil && len(request.Body) == size; whole != (size <= limit) || held.part > limit+1 {
			t.Errorf("%d bytes, %d allowed: refused with %v, %d are held", size, limit, refusal, held.part)
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
