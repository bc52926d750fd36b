package policy

import "time"

// Admission control for overloaded plain services. A request that has been sent waits at
// its server in order of arrival and can't be withdrawn, so without a bound on the wait
// every answer is late.

const (
	// plainTargetShare is the fraction of a route's target latency within which an answer
	// is expected. The rest allows for requests that other routers have sent but not yet
	// reported.
	plainTargetShare = 0.8
	// plainIdempotentShare is the fraction of the budget for idempotent requests, which
	// callers can safely retry.
	plainIdempotentShare = 0.5
	// plainTieShare is the fraction of the target latency by which expected answer times
	// may differ and still count as equal. If all routers chose the least busy server by
	// the same outdated reports, they would all send to that one.
	plainTieShare = 0.2
	// plainMaxJitter bounds the random part of the retry delay.
	plainMaxJitter = 0.25
)

// PlainServer is a plain backend server as a candidate for one request.
type PlainServer struct {
	Running     int           // requests at it from all routers, as estimated
	Slots       int           // requests that it processes concurrently, 0 if unknown
	SameZone    bool          // it is in the router's availability zone
	ServiceTime time.Duration // time for one request without a wait
	Slowdown    float64       // ratio of its current to its usual work time, 1 if unknown
}

// HasFreeSlot reports whether a slot is free. A server that reports no slots always has
// one, as no wait can be predicted there.
func (s PlainServer) HasFreeSlot() bool { return s.Slots <= 0 || s.Running < s.Slots }

// Wait returns how long one more request is expected to wait for a slot.
func (s PlainServer) Wait() time.Duration {
	return scale(s.workTime(), PlainRounds(s.Running, s.Slots)-1)
}

func (s PlainServer) workTime() time.Duration { return scale(s.ServiceTime, s.Slowdown) }

// answerTime returns the expected time until the answer to one more request.
func (s PlainServer) answerTime() time.Duration { return s.Wait() + s.workTime() }

// PlainRounds returns after how many service times a request is answered that finds this
// many running requests at a server. Slots are assumed to become free at even intervals.
func PlainRounds(running, slots int) float64 {
	if slots <= 0 || running < slots {
		return 1
	}
	return 1 + float64(running+1-slots)/float64(slots)
}

// PlainRequest is a request to a plain service for which a server is chosen.
type PlainRequest struct {
	Target     time.Duration // target latency of its route, 0 for none
	Remaining  time.Duration // time until its caller gives up
	Idempotent bool          // it may be executed more than once
	Rank       int           // number of more urgent priorities in use
	Jitter     float64       // random number in [0, 1) for the retry delay
	Offset     int           // rotates equal servers, not negative
}

// PlainChoice is the decision on a request to a plain service.
type PlainChoice struct {
	Server     int // index of the chosen server, or of the best one if none fits
	Fits       bool
	Wait       time.Duration // expected wait at that server
	Budget     time.Duration // longest acceptable wait
	RetryAfter time.Duration // delay until the caller should retry, 0 if the request fits
}

// ChoosePlain chooses one of the servers, of which there must be at least one, or refuses
// the request. A server with a free slot takes any request, even if its answer is
// expected too late, since only answers show that a server has become faster.
func (s *Settings) ChoosePlain(request PlainRequest, servers []PlainServer) PlainChoice {
	choice := PlainChoice{Budget: s.plainBudget(request, servers)}
	best := 0
	for i, server := range servers {
		if server.answerTime() < servers[best].answerTime() {
			best = i
		}
	}
	choice.Server, choice.Fits = choice.earliestAccepting(request, servers)
	if !choice.Fits {
		choice.Server = best
		choice.RetryAfter = choice.retryAfter(request, servers[best])
	}
	choice.Wait = servers[choice.Server].Wait()
	return choice
}

// plainBudget returns the longest wait that a request accepts. Its lower bound is the
// shortest service time of the servers, so that a slow server does not raise it.
func (s *Settings) plainBudget(request PlainRequest, servers []PlainServer) time.Duration {
	if request.Target <= 0 {
		return request.Remaining
	}
	work := servers[0].workTime()
	for _, server := range servers {
		work = min(work, server.workTime())
	}
	budget := max(scale(request.Target, plainTargetShare)-work, work)
	if request.Idempotent {
		budget = scale(budget, plainIdempotentShare)
	}
	return scale(budget, s.urgencyShare(request.Rank))
}

// accepts reports whether the request may be sent to the server.
func (c PlainChoice) accepts(request PlainRequest, server PlainServer) bool {
	return server.HasFreeSlot() || server.Wait() <= c.Budget && server.answerTime() <= request.Remaining
}

// earliestAccepting returns the index of the server with the earliest expected answer
// among those that may take the request. Among equal ones, it prefers the router's own
// zone.
func (c PlainChoice) earliestAccepting(request PlainRequest, servers []PlainServer) (int, bool) {
	found := false
	var earliest time.Duration
	for _, server := range servers {
		if c.accepts(request, server) && (!found || server.answerTime() < earliest) {
			found, earliest = true, server.answerTime()
		}
	}
	if !found {
		return 0, false
	}
	latest := earliest + scale(request.Target, plainTieShare)
	chosen := -1
	for i := range servers {
		index := (i + request.Offset) % len(servers)
		server := servers[index]
		if !c.accepts(request, server) || server.answerTime() > latest {
			continue
		}
		if chosen < 0 || server.SameZone && !servers[chosen].SameZone {
			chosen = index
		}
	}
	return chosen, true
}

// retryAfter returns the time until the server is expected to take the request, limited
// to the time for which its caller would wait. The jitter keeps callers that were refused
// together from retrying together.
func (c PlainChoice) retryAfter(request PlainRequest, server PlainServer) time.Duration {
	after := max(server.Wait()-c.Budget, server.answerTime()-request.Remaining)
	after = max(min(after, request.Remaining), minRetryAfter)
	return after + scale(after, plainMaxJitter*request.Jitter)
}
