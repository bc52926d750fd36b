package agent

import "time"

// Bounds of the agent's memory and time. A bound that operators may need to
// move is a field of Limits; the others follow from the protocol.
const (
	// MaxRouters bounds the routers whose offers are held. Offers of further
	// routers are not noted; they come back with the next refresh.
	MaxRouters = 1024
	// MaxOffersPerRouter bounds the client accounts that one router offers.
	MaxOffersPerRouter = 4096
	// MaxDataConnections bounds the open connections of the data port.
	MaxDataConnections = 8192
	// MaxOffers bounds the offers of all routers, each of which holds about
	// 240 bytes. Further ones are not noted; they come back with the next
	// refresh, when others have been served.
	MaxOffers = 150_000
	// MaxVerdicts bounds the table of suspect and convicted requests.
	MaxVerdicts = 4096
	// MaxHeldSuspects bounds the admitted suspects that wait for another one.
	MaxHeldSuspects = 16
	// MaxClockSkew is the largest difference that is allowed for between the
	// clocks of two nodes when the time in a request id is judged.
	MaxClockSkew = 2 * time.Second
	// MinEndedLife is the time for which an ended request is remembered even
	// when the table is full. It exceeds the longest grant lease, so that a
	// delayed dispatch on a grant cannot outlive the memory of its fence.
	MinEndedLife = 10 * time.Second
	// MaxGrantLease cuts a longer lease in the settings.
	MaxGrantLease = 5 * time.Second
	// GrantMargin is added to a lease at the agent, so that the router's
	// use-by time always comes first.
	GrantMargin = 250 * time.Millisecond
	// GrantCallTime is for how long a router gets grants as calls after one has
	// lapsed.
	GrantCallTime = 30 * time.Second
	// OfferLife is the time after which an offer lapses unless the router
	// refreshes it.
	OfferLife = 90 * time.Second
	// SweepInterval is the time between two passes over the large tables.
	SweepInterval = time.Second
	// MaxAsked is the number of routers that an idle agent asks at once.
	MaxAsked = 2
	// MinAskInterval and MaxAskInterval bound the time between two rounds of
	// asking; the interval doubles while nothing waits anywhere.
	MinAskInterval = 200 * time.Millisecond
	// MaxAskInterval is the interval in a fleet without waiting work.
	MaxAskInterval = 3 * time.Second
	// MaxGrantsPerMessage bounds one Grant message.
	MaxGrantsPerMessage = 64
	// KeyRetention is the time for which a guard remembers an idempotency key.
	KeyRetention = 10 * time.Minute
	// VerdictLife is the time after which a suspicion or conviction expires.
	VerdictLife = 10 * time.Minute
	// ConvictingCrashes is the number of crashes that convicts a request.
	ConvictingCrashes = 2
	// MaxLoadAge is the age beyond which a load report is ignored.
	MaxLoadAge = 10 * time.Second
)

// Defaults of Limits.
const (
	DefaultMaxHeldBytes   = 48 << 20
	DefaultMaxHeldAnswers = 4096
	DefaultMaxEnded       = 200_000
	DefaultMaxKeys        = 50_000
	DefaultEndedLife      = 30 * time.Minute
	DefaultMaxAhead       = 32
)

// Limits are the bounds that operators may set in the INI file.
type Limits struct {
	MaxHeldBytes   int64         // bytes of finished answers kept for routers
	MaxHeldAnswers int           // number of finished answers kept for routers
	MaxEnded       int           // request ids remembered after their end
	MaxKeys        int           // idempotency keys guarded
	EndedLife      time.Duration // how long an ended request id is remembered
	MaxAhead       int           // grants beyond the free slots
}

// DefaultLimits returns the limits used where the INI file names none.
func DefaultLimits() Limits {
	return Limits{
		MaxHeldBytes:   DefaultMaxHeldBytes,
		MaxHeldAnswers: DefaultMaxHeldAnswers,
		MaxEnded:       DefaultMaxEnded,
		MaxKeys:        DefaultMaxKeys,
		EndedLife:      DefaultEndedLife,
		MaxAhead:       DefaultMaxAhead,
	}
}
