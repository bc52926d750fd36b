package agent

import (
	"encoding/hex"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// verdict is what is known of a request that was in flight at a crash.
type verdict struct {
	crashes uint32
	expires time.Time
}

// crash holds the requests that are suspected or convicted of crashing backend
// servers.
type crash struct {
	verdicts map[Fingerprint]verdict
	// sole is the only suspect that ran at the first sign of the last crash;
	// others that end by the same crash are not to blame.
	sole  Fingerprint
	since time.Time
}

// crashWindow is the time within which the runs of a crashed backend server
// report their ends.
const crashWindow = 5 * time.Second

func (c *crash) convicted(fingerprint Fingerprint, now time.Time) bool {
	known, ok := c.verdicts[fingerprint]
	return ok && known.crashes >= ConvictingCrashes && now.Before(known.expires)
}

func (c *crash) suspect(fingerprint Fingerprint) bool {
	_, ok := c.verdicts[fingerprint]
	return ok
}

// learn keeps the graver of two verdicts and reports whether it is news.
func (c *crash) learn(fingerprint Fingerprint, crashes uint32, expires time.Time) bool {
	if fingerprint == "" {
		return false
	}
	known, ok := c.verdicts[fingerprint]
	if ok && known.crashes >= crashes {
		return false
	}
	if !ok && len(c.verdicts) >= MaxVerdicts {
		return false
	}
	if c.verdicts == nil {
		c.verdicts = make(map[Fingerprint]verdict)
	}
	c.verdicts[fingerprint] = verdict{crashes: crashes, expires: expires}
	return true
}

func (c *crash) expire(now time.Time) {
	for fingerprint, known := range c.verdicts {
		if !now.Before(known.expires) {
			delete(c.verdicts, fingerprint)
		}
	}
}

func (w *World) isSuspect(in Dispatch) bool {
	return in.Suspect || w.crash.suspect(in.Fingerprint)
}

// takeCrash judges a run that ended with its backend server.
//
// A caller repeats a request that failed, also one at which a server crashes,
// and so takes down one server after the other. All requests in flight at a
// crash become suspects, and a suspect runs as the only one on its server. So
// the second crash tells: if exactly one suspect was in flight, that one is
// convicted and the others are not blamed.
func (w *World) takeCrash(now time.Time, row *request) {
	if now.Sub(w.crash.since) > crashWindow {
		w.crash.since = now
		w.crash.sole = w.soleSuspect(row)
		w.emit(Note{Event: event.BackendCrashed, Request: row.id})
	}
	if w.crash.sole != "" && w.crash.sole != row.fingerprint {
		return
	}
	crashes := w.crash.verdicts[row.fingerprint].crashes + 1
	if row.suspect {
		crashes = ConvictingCrashes
	}
	w.spread(row.fingerprint, crashes, now.Add(VerdictLife))
}

// soleSuspect is the fingerprint of the suspect that runs or has just ended.
func (w *World) soleSuspect(ended *request) Fingerprint {
	if ended.suspect {
		return ended.fingerprint
	}
	var sole Fingerprint
	w.requests.Each(func(_ fleet.RequestID, row *request) {
		if row.state == stateRunning && row.suspect {
			sole = row.fingerprint
		}
	})
	return sole
}

func (w *World) spread(fingerprint Fingerprint, crashes uint32, expires time.Time) {
	if !w.crash.learn(fingerprint, crashes, expires) {
		return
	}
	w.emit(Note{Event: verdictEvent(crashes), Detail: hex.EncodeToString([]byte(fingerprint))})
	w.emit(SpreadVerdict{Verdict: &rpc.Verdict{
		Fingerprint: []byte(fingerprint),
		Crashes:     crashes,
		ExpiresMs:   expires.UnixMilli(),
	}})
}

func verdictEvent(crashes uint32) event.Event {
	if crashes >= ConvictingCrashes {
		return event.RequestConvicted
	}
	return event.RequestSuspect
}

// takeVerdicts learns what peers know.
func (w *World) takeVerdicts(in Verdicts) {
	for _, v := range in.Verdicts {
		w.crash.learn(Fingerprint(v.Fingerprint), v.Crashes, time.UnixMilli(v.ExpiresMs))
	}
}
