package shares

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// historyStep is the resolution of a grantHistory, and historySteps its length.
	historyStep  = 125 * time.Millisecond
	historySteps = 16
)

// stepDecay is what remains of a sum after a step.
var stepDecay = decayFactor(historyStep)

// grantHistory holds what an account was granted at this router lately, in steps of time.
type grantHistory struct {
	steps [historySteps]float32 // by number of the step modulo historySteps
	last  int64                 // number of the latest step
}

// add adds tokens, which are negative for a refund.
func (h *grantHistory) add(tokens float64, now boottime.Instant) {
	h.advance(now)
	h.steps[h.last%historySteps] += float32(tokens)
}

// advance clears the steps that have begun since the last call.
func (h *grantHistory) advance(now boottime.Instant) {
	step := int64(now) / int64(historyStep)
	for range min(step-h.last, historySteps) {
		h.last++
		h.steps[h.last%historySteps] = 0
	}
	h.last = max(step, h.last)
}

// within returns what remains, decayed, of the grants of the last time of this length.
func (h *grantHistory) within(length time.Duration, now boottime.Instant) float64 {
	h.advance(now)
	// The oldest step of those covered is part of the time as far as it reaches into it.
	total, factor := 0.0, 1.0
	inStep := time.Duration(int64(now) % int64(historyStep))
	for i := int64(0); i < min(historySteps, h.last+1) && length > 0; i++ {
		part := min(1, length.Seconds()/inStep.Seconds())
		total += part * factor * float64(h.steps[(h.last-i)%historySteps])
		factor *= stepDecay
		length -= inStep
		inStep = historyStep
	}
	return max(total, 0)
}
