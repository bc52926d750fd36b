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
	runningAt fleet.Address
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

// claim takes the key for a request, or tells who holds it.
func (g *guard) claim(now time.Time, in Claim) ClaimState {
	name := guardKey{account: in.Account, key: in.Key}
	held := g.rows[name]
	if held == nil {
		return g.first(now, name, in)
	}
	if held.id == in.ID {
		g.update(held, in)
		return ClaimState{Result: held.result}
	}
	return ClaimState{
		Result:      rpc.ClaimResult_CLAIM_RESULT_HELD,
		Holder:      held.id,
		RunningAt:   held.runningAt,
		BodyDiffers: held.bodyHash != in.BodyHash,
	}
}

// first takes a key that nobody holds. The claim is noted even when this guard
// can't tell of earlier ones: the other guard may, and then the request runs.
func (g *guard) first(now time.Time, name guardKey, in Claim) ClaimState {
	result := rpc.ClaimResult_CLAIM_RESULT_GRANTED
	if !g.covers(now, name.key) {
		result = rpc.ClaimResult_CLAIM_RESULT_CANNOT_TELL
	}
	g.rows[name] = &holder{id: in.ID, bodyHash: in.BodyHash, runningAt: in.RunningAt, claimedAt: now, result: result}
	g.order = append(g.order, name)
	g.expire(now)
	return ClaimState{Result: result}
}

func (g *guard) update(held *holder, in Claim) {
	if in.RunningAt != "" {
		held.runningAt = in.RunningAt
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

// takeClaim answers a claim or a release.
func (w *World) takeClaim(now time.Time, in Claim) {
	if in.Release {
		w.guard.release(in)
		w.reply(in.Ticket, ClaimState{Result: rpc.ClaimResult_CLAIM_RESULT_GRANTED})
		return
	}
	w.reply(in.Ticket, w.guard.claim(now, in))
}
