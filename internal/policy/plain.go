package policy

import "time"

// Admission control for overloaded plain services. A request that has been sent waits
// at its server in the order of arrival and can't be withdrawn, so without a bound on
// the wait every answer is late.

const (
	// plainTargetShare is the part of a route's target latency within which an
	// answer is expected. The rest is for requests that other routers have sent and
	// not yet reported.
	plainTargetShare = 0.8
	// plainReadShare is the part of the budget that a request has which may run
	// twice: its caller can safely try again.
	plainReadShare = 0.5
	// plainTie is the part of the target latency by which the expected times of
	// answers may differ and still count as equal. Routers that all chose the
	// least busy server by the same outdated reports would all send to that one.
	plainTie = 0.2
	// plainJitter bounds the random part of the time to come back.
	plainJitter = 0.25
)

// PlainServer is a plain backend server as a candidate for one request.
type PlainServer struct {
	Running     int           // requests at it, of all routers, as far as expected
	Slots       int           // requests that it works on at once, 0 if unknown
	SameZone    bool          // in the router's availability zone
	ServiceTime time.Duration // that one request takes there without a wait
	Slowdown    float64       // its current over its usual work time, 1 if unknown
}

// HasFreeSlot tells whether a slot is free. A server that does not tell its slots takes
// everything: no wait can be expected there.
func (s PlainServer) HasFreeSlot() bool { return s.Slots <= 0 || s.Running < s.Slots }

// Wait returns how long one more request is expected to wait for a slot.
func (s PlainServer) Wait() time.Duration {
	return share(s.work(), PlainRounds(s.Running, s.Slots)-1)
}

func (s PlainServer) work() time.Duration { return share(s.ServiceTime, s.Slowdown) }

// answer returns when the answer to one more request is expected.
func (s PlainServer) answer() time.Duration { return s.Wait() + s.work() }

// PlainRounds returns how many times the service time passes until the answer to
// a request that finds so many others at a server. Slots become free at even
// intervals.
func PlainRounds(running, slots int) float64 {
	if slots <= 0 || running < slots {
		return 1
	}
	return 1 + float64(running+1-slots)/float64(slots)
}

// PlainRequest is a request to a plain service that is to be placed.
type PlainRequest struct {
	Target     time.Duration // latency of its route, 0 for none
	Remaining  time.Duration // until its caller gives up
	Idempotent bool          // it may run more than once
	Rank       int           // how many priorities in use are more urgent
	Jitter     float64       // random number in [0, 1) for the time to come back
	Offset     int           // rotates equal servers, at least 0
}

// PlainChoice is what was decided on a request to a plain service.
type PlainChoice struct {
	Server     int // index of the chosen server, or of the best one if none fits
	Fits       bool
	Wait       time.Duration // expected at that server
	Budget     time.Duration // longest wait that the request accepts
	RetryAfter time.Duration // time to come back, 0 if the request fits
}

// ChoosePlain chooses one of the servers for a request, or refuses it. There is at
// least one server. One with a free slot takes any request, even one whose answer
// is expected too late: only answers show that a server has become faster.
func (s *Settings) ChoosePlain(request PlainRequest, servers []PlainServer) PlainChoice {
	choice := PlainChoice{Budget: s.plainBudget(request, servers)}
	best := 0
	for i, server := range servers {
		if server.answer() < servers[best].answer() {
			best = i
		}
	}
	choice.Server, choice.Fits = choice.among(request, servers)
	if !choice.Fits {
		choice.Server = best
		choice.RetryAfter = choice.retryAfter(request, servers[best])
	}
	choice.Wait = servers[choice.Server].Wait()
	return choice
}

// plainBudget returns the longest wait that a request accepts. A slow server does
// not widen it: its floor is the shortest service time.
func (s *Settings) plainBudget(request PlainRequest, servers []PlainServer) time.Duration {
	if request.Target <= 0 {
		return request.Remaining
	}
	work := servers[0].work()
	for _, server := range servers {
		work = min(work, server.work())
	}
	budget := max(share(request.Target, plainTargetShare)-work, work)
	if request.Idempotent {
		budget = share(budget, plainReadShare)
	}
	return share(budget, s.urgency(request.Rank))
}

// takes tells whether the request may be sent to the server.
func (c PlainChoice) takes(request PlainRequest, server PlainServer) bool {
	return server.HasFreeSlot() || server.Wait() <= c.Budget && server.answer() <= request.Remaining
}

// among returns the index of the server with the earliest expected answer among
// those that may take the request. Equal ones are in the own zone first.
func (c PlainChoice) among(request PlainRequest, servers []PlainServer) (int, bool) {
	found := false
	var earliest time.Duration
	for _, server := range servers {
		if c.takes(request, server) && (!found || server.answer() < earliest) {
			found, earliest = true, server.answer()
		}
	}
	if !found {
		return 0, false
	}
	most := earliest + share(request.Target, plainTie)
	chosen := -1
	for i := range servers {
		index := (i + request.Offset) % len(servers)
		server := servers[index]
		if !c.takes(request, server) || server.answer() > most {
			continue
		}
		if chosen < 0 || server.SameZone && !servers[chosen].SameZone {
			chosen = index
		}
	}
	return chosen, true
}

// retryAfter returns the time until the server is expected to take the request,
// but not longer than its caller would wait for the answer. The random part keeps
// callers that were refused together from coming back together.
func (c PlainChoice) retryAfter(request PlainRequest, server PlainServer) time.Duration {
	after := max(server.Wait()-c.Budget, server.answer()-request.Remaining)
	after = max(min(after, request.Remaining), leastRetry)
	return after + share(after, plainJitter*request.Jitter)
}
