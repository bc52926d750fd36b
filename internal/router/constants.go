package router

import "time"

// HTTP statuses that the decisions name.
const (
	statusOK                 = 200
	statusUnprocessable      = 422
	statusTooManyRequests    = 429
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// Bounds and intervals that no setting changes.
const (
	// minRetryAfter is the shortest time that a refusal names.
	minRetryAfter = time.Second
	// offerCoalesce gathers changes before an offer is sent.
	offerCoalesce = 5 * time.Millisecond
	// offerRefresh repeats an offer before the agent lets it lapse (90 s).
	offerRefresh = 30 * time.Second
	// withdrawDelay is how long a queue must be empty before its offers are
	// withdrawn.
	withdrawDelay = 2 * time.Second
	// bucketTolerance is the growth of countBucket from which on agents are told
	// of a changed count: four times as many.
	bucketTolerance = 2
	// usualWaitRequests is the number of requests over which a queue's usual
	// wait is averaged.
	usualWaitRequests = 4
	// maxUsualWait bounds what a queue waits before it is offered to more
	// agents: its first ones may be slower than the others.
	maxUsualWait = 2 * time.Second
	// ackDelay bounds how long an acknowledgement waits for a dispatch or an
	// offer to ride on.
	ackDelay = 5 * time.Second
	// maxPendingAcks bounds the acknowledgements held per agent. A lost one
	// costs the agent memory until the answer's retention ends, no more.
	maxPendingAcks = 4096
	// grantMargin is taken off a grant's lease. A router that was paused past
	// it declines instead of sending a request that the agent would refuse.
	grantMargin = 50 * time.Millisecond
	// sweepInterval is the time between two looks at deadlines.
	sweepInterval = 20 * time.Millisecond
	// deadlineGrace lets the agent's own word on a passed deadline come first.
	deadlineGrace = 250 * time.Millisecond
	// fenceTimeout bounds one fence.
	fenceTimeout = time.Second
	// unclearPatience bounds the tries to learn what became of a request that
	// may not run twice.
	unclearPatience = 10 * time.Second
	// resumePause stands between tries that failed at once.
	resumePause = 100 * time.Millisecond
	// maxChecksumRestarts bounds fetching an answer again that arrived damaged.
	maxChecksumRestarts = 2
	// claimPoll is the time between two looks at a key whose holder waits.
	claimPoll = 100 * time.Millisecond
	// beliefAge is the age at which news of a full agent says little.
	beliefAge = time.Second
	// noAgentPatience is how long requests wait for a first agent to appear.
	noAgentPatience = 2 * time.Second
	// retryBurst is the number of retries a service may make without earning
	// them first.
	retryBurst = 10.0
	// defaultSilence stands in when the settings do not know the service.
	defaultSilence = 1200 * time.Millisecond
	// maxPrefixes bounds the table of prompts' beginnings per service.
	maxPrefixes = 4096
)
