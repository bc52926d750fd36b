package router

import "time"

// rateBucket limits how many requests a second an account may bring.
type rateBucket struct {
	tokens float64
	filled time.Time
}

// take uses one token. Without one it returns the time until there is one. A
// rate of 0 is no limit. A burst of one second's worth, at least one request,
// passes at once.
func (b *rateBucket) take(now time.Time, rate float64) (wait time.Duration, ok bool) {
	if rate <= 0 {
		return 0, true
	}
	burst := max(rate, 1)
	if b.filled.IsZero() {
		b.tokens = burst
	} else if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(burst, b.tokens+elapsed.Seconds()*rate)
	}
	b.filled = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// retryBudget bounds the retries of one service. Without it, a service whose
// servers fail is sent every request several times, which makes a small
// failure a large one.
type retryBudget struct {
	tokens float64
	primed bool
}

// earn adds what one new request may spend.
func (b *retryBudget) earn(ratio float64) {
	b.prime()
	b.tokens = min(retryBurst, b.tokens+ratio)
}

// spend takes one retry and reports whether there was one to take.
func (b *retryBudget) spend() bool {
	b.prime()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) prime() {
	if !b.primed {
		b.primed = true
		b.tokens = retryBurst
	}
}
