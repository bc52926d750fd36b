package router

import (
	"sync"
	"testing"
)

// Symptom: a router that drains ends now and then with a panic.
// Sequence: the last call in progress ends while the drain waits for it; at
// that moment a further call comes, which is refused.
// Cause: a sync.WaitGroup must not be used again before Wait has returned.
func TestCallsBeginWhileDrainEnds(t *testing.T) {
	const rounds = 2000
	for range rounds {
		var calls progress
		calls.begin()
		none := calls.none()
		var late sync.WaitGroup
		for range 4 {
			late.Go(func() {
				calls.begin()
				calls.end()
			})
		}
		calls.end()
		<-none
		late.Wait()
		<-calls.none()
	}
}
