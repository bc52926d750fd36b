package backendconn

import "time"

// Reason tells why a connection was opened.
type Reason string

// The reasons for which connections are opened. All but the first two tell how
// the connection ended that the new one takes the place of.
const (
	// ReasonFirst means that no connection to the address is remembered.
	ReasonFirst Reason = "first"
	// ReasonBusy means that all connections to the address are in use, and that
	// none that ended has yet to be made up for.
	ReasonBusy Reason = "busy"
	// ReasonExpired means that it was idle for longer than it may be used again.
	ReasonExpired Reason = "expired"
	// ReasonClosed means that the peer closed it, announced to close it, or sent
	// bytes on it that belong to no request.
	ReasonClosed Reason = "closed"
	// ReasonBroken means that a request or its answer failed on it.
	ReasonBroken Reason = "broken"
	// ReasonReplaced means that the address has a new backend server.
	ReasonReplaced Reason = "replaced"
	// ReasonAbandoned means that this router closed it because the request was
	// not sent or was given up before the end of its answer.
	ReasonAbandoned Reason = "abandoned"
)

// Opening describes a connection that has been opened.
type Opening struct {
	Reason Reason
	// IdleTime is, for ReasonExpired and ReasonClosed, the time from the last answer
	// on the former connection to this opening: for so long it would have had to
	// last to make the opening unnecessary. 0 for other reasons.
	IdleTime time.Duration
	// StatedTimeout is the idle timeout that the backend server stated on the former
	// connection, for the same reasons; 0 if it stated none.
	StatedTimeout time.Duration
}

// FollowsIdle tells whether Idle and Stated are set.
func (o Opening) FollowsIdle() bool { return o.Reason.followsIdle() }

// followsIdle tells whether the former connection ended for what happened while it was
// idle, or instead of becoming idle.
func (r Reason) followsIdle() bool { return r == ReasonExpired || r == ReasonClosed }
