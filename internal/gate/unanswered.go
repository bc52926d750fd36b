package gate

import (
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
)

// unansweredCause says why a connection ended on which a request may have had no answer. Its
// values are those of the metric's label.
type unansweredCause string

const (
	causeAcceptQueue unansweredCause = "accept_queue" // not accepted when the listener closed
	causeUnread      unansweredCause = "unread"       // closed with bytes that were not read
	causeCanceled    unansweredCause = "canceled"     // canceled while its caller was connected
	causeDrainEnd    unansweredCause = "drain_end"    // a request was in progress when the drain ended
	causePanic       unansweredCause = "panic"        // the handler panicked
)

const (
	// unansweredPerSecond and unansweredBurst bound the log entries on such connections.
	unansweredPerSecond = 5
	unansweredBurst     = 20
)

// unansweredLog records connections that the router ended although a request on them may have
// had no answer. Callers see only a connection that ends, so that nobody else tells. Its methods
// may be called concurrently; those of a nil log do nothing.
type unansweredLog struct {
	logger logrus.FieldLogger
	limit  *rate.Limiter
	total  *prometheus.CounterVec
}

func newUnansweredLog(logger logrus.FieldLogger, registerer prometheus.Registerer) *unansweredLog {
	u := &unansweredLog{
		logger: logger,
		limit:  rate.NewLimiter(unansweredPerSecond, unansweredBurst),
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_unanswered_total",
			Help: "Connections that the router ended although a request on them may have had no answer, by cause.",
		}, []string{"cause"}),
	}
	registerer.MustRegister(u.total)
	return u
}

// add counts connections of the cause.
func (u *unansweredLog) add(cause unansweredCause, count int) {
	if u == nil {
		return
	}
	u.total.WithLabelValues(string(cause)).Add(float64(count))
}

// listenerClosed records that the listener was closed, how many requests on connections in its
// accept queue were refused, and how many connections were left there; -1 if unknown.
func (u *unansweredLog) listenerClosed(draining bool, refused, waiting int) {
	if u == nil {
		return
	}
	u.add(causeAcceptQueue, max(waiting, 0))
	event.GateListenerClosed.Log(u.logger, logrus.Fields{"draining": draining, "refused": refused, "waiting": waiting})
}

// notListening records that the listener could not be opened again.
func (u *unansweredLog) notListening(err error) {
	if u != nil && u.limit.Allow() {
		event.GateNotListening.Log(u.logger, logrus.Fields{"error": err.Error()})
	}
}

// closedUnread records that a connection is closed with unread bytes.
func (u *unansweredLog) closedUnread(conn *callerConn) {
	if u == nil {
		return
	}
	u.add(causeUnread, 1)
	if u.limit.Allow() {
		event.GateClosedUnread.Log(u.logger, logrus.Fields{
			"connection_age_ms":   boottime.Now().Sub(conn.opened).Milliseconds(),
			"connection_requests": conn.requests.Load(),
			"state":               conn.currentState(),
		})
	}
}

// canceled records that a request was canceled although its caller is connected.
func (u *unansweredLog) canceled() {
	if u != nil {
		u.add(causeCanceled, 1)
	}
}

// drainEnded records the connections that are closed at the end of the drain while a request is
// read or served on them.
func (u *unansweredLog) drainEnded(reading, serving int) {
	if u == nil || reading+serving == 0 {
		return
	}
	u.add(causeDrainEnd, reading+serving)
	event.GateClosedInProgress.Log(u.logger, logrus.Fields{"reading": reading, "serving": serving})
}

// panicked records that the handler of a request panicked.
func (u *unansweredLog) panicked(reason any) {
	if u == nil {
		return
	}
	u.add(causePanic, 1)
	if u.limit.Allow() {
		event.GatePanicked.Log(u.logger, logrus.Fields{"error": reason, "stack": string(debug.Stack())})
	}
}
