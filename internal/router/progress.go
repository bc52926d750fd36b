package router

import "sync"

// progress counts the calls in progress for a graceful end.
//
// A sync.WaitGroup would not do: callers go on to call a router that drains,
// and are refused. When such a call begins just as the last one in progress
// ends, WaitGroup panics, as it is used again before Wait has returned, and the
// process ends in a crash instead of in good order.
type progress struct {
	mu      sync.Mutex
	calls   int
	drained chan struct{} // closed when there are no calls; nil until asked for
}

// begin counts a call.
func (p *progress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

// end counts a call's end.
func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls--
	p.settle()
}

// none returns a channel that is closed once no call is in progress. Calls that
// begin later do not open it again.
func (p *progress) none() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drained == nil {
		p.drained = make(chan struct{})
	}
	p.settle()
	return p.drained
}

// settle closes the channel when its time has come.
func (p *progress) settle() {
	if p.calls > 0 || p.drained == nil {
		return
	}
	select {
	case <-p.drained:
	default:
		close(p.drained)
	}
}
