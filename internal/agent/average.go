package agent

import "time"

// averageGain is the weight of the newest value in an average.
const averageGain = 0.05

// average is a moving average of durations. The zero value has no samples.
type average struct {
	mean  float64
	known bool
}

func (a *average) add(sample time.Duration) {
	if !a.known {
		a.mean = float64(sample)
		a.known = true
		return
	}
	a.mean += averageGain * (float64(sample) - a.mean)
}

// value is the average, or 0 without samples.
func (a *average) value() time.Duration { return time.Duration(a.mean) }
