package router

import (
	"time"
)

// convictingCrashes is the number of backend servers that a request may crash
// before it is refused for good.
const convictingCrashes = 2

// verdictLife is how long a verdict of this router's own stands.
const verdictLife = 10 * time.Minute

// takeVerdict notes a verdict that another node reached.
func (w *World) takeVerdict(event VerdictHeard) {
	known := w.verdicts.Get(event.Fingerprint)
	if known != nil && known.Crashes > event.Crashes && known.Expires.After(w.now) {
		return
	}
	w.verdicts.Put(event.Fingerprint, &event)
}

// noteCrash remembers that a request went down with a backend server. Its
// caller will send it again, to any router; the agents spread the verdict.
//
// A suspect runs as the only one on its server, so a second crash convicts it
// at once. If this router waited for the verdict of the agent to come round, it
// could send the request to a third server before.
func (w *World) noteCrash(e *entry) {
	e.crashes++
	if e.attempt.suspect {
		e.crashes = convictingCrashes
	}
	crashes := e.crashes
	if known := w.verdicts.Get(e.request.Fingerprint); known != nil {
		crashes = max(crashes, known.Crashes)
	}
	w.verdicts.Put(e.request.Fingerprint, &VerdictHeard{
		Fingerprint: e.request.Fingerprint,
		Crashes:     crashes,
		Expires:     w.now.Add(verdictLife),
	})
}

func (w *World) verdict(fingerprint Fingerprint) uint32 {
	known := w.verdicts.Get(fingerprint)
	if known == nil || !known.Expires.After(w.now) {
		return 0
	}
	return known.Crashes
}

// suspected tells whether a backend server crashed while the request ran.
func (w *World) suspected(fingerprint Fingerprint) bool { return w.verdict(fingerprint) > 0 }

// convicted tells whether the request is refused for good.
func (w *World) convicted(fingerprint Fingerprint) bool {
	return w.verdict(fingerprint) >= convictingCrashes
}

// convictedResult refuses a convicted request. Its outcome is not-run only
// when this very request never ran.
func (w *World) convictedResult(e *entry) Result {
	const message = "backend servers crashed while this request ran; it is not run again"
	if e.crashes > 0 || e.mayHaveRun {
		return unknown(statusUnprocessable, CodeConvicted, message)
	}
	result := notRun(statusUnprocessable, CodeConvicted, message, 0)
	result.RetryAfter = 0
	return result
}

func (w *World) expireVerdicts(now time.Time) {
	w.verdicts.Each(func(fingerprint Fingerprint, verdict *VerdictHeard) {
		if !verdict.Expires.After(now) {
			w.verdicts.Delete(fingerprint)
		}
	})
}
