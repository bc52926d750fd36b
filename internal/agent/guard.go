package agent

import (
	"time"

	"github.com/google/uuid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// guardKey is a caller's idempotency key; each account has its own.
type guardKey struct {
	account fleet.Account
	key     string
}

// holder is the request that holds a key.
type holder struct {
	id        fleet.RequestID
	bodyHash  string
	router    fleet.Address // where the request waits; empty when unknown
	started   uint64        // incarnation of the router
	runningAt fleet.Address
	attempt   uint32 // that runs there
	claimedAt time.Time
	result    rpc.ClaimResult // of the first claim, repeated when its reply is lost
}

// guard keeps the idempotency keys that this agent guards.
//
// A caller that lost an answer sends the request again under the same key,
// maybe through another router. The guard tells the second router of the first
// request. It knows only what happened after its horizon, which is its start
// or the time of the last key that it forgot early. Of an older key it must
// say that it can't tell; if it said "first sight", the request would run
// twice after each restart.
type guard struct {
	limit   int
	rows    map[guardKey]*holder
	order   []guardKey // by claimedAt; released keys stay until their turn
	horizon time.Time
}

func newGuard(limit int, start time.Time) *guard {
	return &guard{limit: limit, rows: make(map[guardKey]*holder), horizon: start}
}

func (g *guard) len() int { return len(g.rows) }

// claim takes the key for a request, or tells who holds it. gone tells whether
// an incarnation of a router has ended.
//
// A router may die while a request with a key waits there. Nobody would give
// the key back, and the caller, who sends again through another router, would
// be held off for as long as keys are remembered. So a request that has not
// been sent to run gives way when its router has gone. That is safe even if
// the router lives: whoever is about to run a request confirms the key first,
// and it is this table that decides which of the two came first.
func (g *guard) claim(now time.Time, in Claim, gone func(fleet.Address, uint64) bool) ClaimState {
	name := guardKey{account: in.Account, key: in.Key}
	held := g.rows[name]
	if held == nil {
		return g.first(now, name, in)
	}
	if held.id == in.ID && in.Attempt >= held.attempt {
		held.update(in)
		return ClaimState{Result: held.result}
	}
	if held.id == in.FencedHolder && held.runningAt == in.FencedAt {
		held.runningAt = ""
	}
	if held.runningAt == "" && held.sameBody(in) && gone(held.router, held.started) {
		held.id, held.router, held.started, held.attempt = in.ID, in.Router, in.Incarnation, 0
		return ClaimState{Result: held.result}
	}
	return ClaimState{
		Result:      rpc.ClaimResult_CLAIM_RESULT_HELD,
		Holder:      held.id,
		RunningAt:   held.runningAt,
		BodyDiffers: !held.sameBody(in),
	}
}

// sameBody tells whether two requests have the same body, as far as is known.
func (h *holder) sameBody(in Claim) bool {
	return h.bodyHash == "" || in.BodyHash == "" || h.bodyHash == in.BodyHash
}

// first takes a key that nobody holds. The claim is noted even when this guard
// can't tell of earlier ones: the other guard may, and then the request runs.
func (g *guard) first(now time.Time, name guardKey, in Claim) ClaimState {
	result := rpc.ClaimResult_CLAIM_RESULT_GRANTED
	if !g.covers(now, name.key) {
		result = rpc.ClaimResult_CLAIM_RESULT_CANNOT_TELL
	}
	taken := &holder{
		id:        in.ID,
		bodyHash:  in.BodyHash,
		runningAt: in.RunningAt,
		attempt:   in.Attempt,
		claimedAt: now,
		result:    result,
	}
	if in.BodyHash != "" { // else an agent confirms a key that this guard has forgotten
		taken.router, taken.started = in.Router, in.Incarnation
	}
	g.rows[name] = taken
	g.order = append(g.order, name)
	g.expire(now)
	return ClaimState{Result: result}
}

// routerOf is the router of the request that holds a claimed key.
func (g *guard) routerOf(in Claim) (fleet.Address, uint64) {
	held := g.rows[guardKey{account: in.Account, key: in.Key}]
	if held == nil {
		return "", 0
	}
	return held.router, held.started
}

// update notes where the request runs. A message of an earlier attempt that
// comes late must not hide where a later one runs: another router would hear
// that the request is fenced there, and take the key.
func (h *holder) update(in Claim) {
	if in.RunningAt != "" {
		h.runningAt = in.RunningAt
		h.attempt = in.Attempt
	}
}

// release frees a key whose request was not run. A request that does not hold
// the key frees nothing.
func (g *guard) release(in Claim) {
	name := guardKey{account: in.Account, key: in.Key}
	if held := g.rows[name]; held != nil && held.id == in.ID {
		delete(g.rows, name)
	}
}

// covers tells whether the guard would know the key if it had been claimed. A
// UUIDv7 key tells when it was made; any other may be as old as KeyRetention.
func (g *guard) covers(now time.Time, key string) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return now.Sub(g.horizon) > KeyRetention
	}
	born := madeAt(id).Add(-MaxClockSkew)
	return born.After(g.horizon) && now.Sub(born) < KeyRetention
}

// expire forgets keys that are too old or too many. One that is forgotten
// before its time raises the horizon.
func (g *guard) expire(now time.Time) {
	dropped := 0
	for _, name := range g.order {
		held := g.rows[name]
		room := len(g.order)-dropped <= g.limit
		if held != nil && now.Sub(held.claimedAt) < KeyRetention && room {
			break
		}
		dropped++
		if held == nil {
			continue
		}
		if now.Sub(held.claimedAt) < KeyRetention {
			g.horizon = now
		}
		delete(g.rows, name)
	}
	g.order = g.order[dropped:]
}
