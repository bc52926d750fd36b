package backendconn

import "time"

// Reason says why a connection was opened.
type Reason string

// The reasons for opening connections. All but the first two say how the connection ended
// that the new one replaces.
const (
	// ReasonFirst means that no connection to the address is remembered.
	ReasonFirst Reason = "first"
	// ReasonBusy means that all connections to the address are in use and every one that
	// ended has been replaced.
	ReasonBusy Reason = "busy"
	// ReasonExpired means that it was idle for longer than it may be reused.
	ReasonExpired Reason = "expired"
	// ReasonClosed means that the peer closed it, announced to close it, or sent bytes on
	// it that belong to no request.
	ReasonClosed Reason = "closed"
	// ReasonBroken means that a request or its answer failed on it.
	ReasonBroken Reason = "broken"
	// ReasonReplaced means that the address has a new backend server.
	ReasonReplaced Reason = "replaced"
	// ReasonUnheard means that its peer had not been heard for maxUnheard on any connection.
	ReasonUnheard Reason = "unheard"
	// ReasonAbandoned means that this router closed it because the request was not sent or
	// was abandoned before the end of its answer.
	ReasonAbandoned Reason = "abandoned"
)

// Opening describes a connection that has been opened.
type Opening struct {
	Reason Reason
	// IdleTime is, for ReasonExpired, ReasonUnheard and ReasonClosed, the time from the last
	// answer on the previous connection to this opening: how long that connection would have
	// had to last to avoid the opening. 0 for other reasons.
	IdleTime time.Duration
	// StatedTimeout is the idle timeout that the backend server stated on the previous
	// connection, for the same reasons; 0 if it stated none.
	StatedTimeout time.Duration
}

// FollowsIdle reports whether IdleTime and StatedTimeout are set.
func (o Opening) FollowsIdle() bool { return o.Reason.followsIdle() }

// followsIdle reports whether the previous connection ended while it was idle, or instead
// of becoming idle.
func (r Reason) followsIdle() bool {
	return r == ReasonExpired || r == ReasonUnheard || r == ReasonClosed
}
