package spread

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Config tells a node who it is and how it spreads news. Zero numbers and
// durations take their defaults.
type Config struct {
	Self  fleet.Node
	Seeds []fleet.Address // peers to ask while the platform is down at the start
	Seed  uint64          // of the random choices

	FanOut              int           // peers to which news is pushed
	WatchersPerZone     int           // nodes of a zone that hold watches
	Reconcilers         int           // nodes of the fleet that read the list of VMs
	PushInterval        time.Duration // between two pushes of a node, at least
	MembersPushInterval time.Duration // the same for news of the list of nodes alone
	ExchangeInterval    time.Duration // between two exchanges with random peers
	PartnerTTL          time.Duration // for which a node exchanges with the same peer
	WatchWait           time.Duration // for which the platform holds a watch
	ReconcileInterval   time.Duration // between two readings of the list of VMs
	JoinTimeout         time.Duration // after which a node that hears nobody trusts the platform
	FallbackInterval    time.Duration // without a word from a peer, after which the platform is asked
	MinBackoff          time.Duration // after a first failed platform call
	MaxBackoff          time.Duration // after many
	MaxPushBytes        int           // a larger delta is left for the peer to pull
}

// withDefaults fills in what is zero.
func (c Config) withDefaults() Config {
	setDefault(&c.FanOut, 4)
	setDefault(&c.WatchersPerZone, 2)
	setDefault(&c.Reconcilers, 2)
	setDefault(&c.PushInterval, 200*time.Millisecond)
	setDefault(&c.MembersPushInterval, 500*time.Millisecond)
	setDefault(&c.ExchangeInterval, time.Second)
	setDefault(&c.PartnerTTL, 10*time.Second)
	setDefault(&c.WatchWait, 30*time.Second)
	setDefault(&c.ReconcileInterval, time.Second)
	setDefault(&c.JoinTimeout, 3*time.Second)
	setDefault(&c.FallbackInterval, 30*time.Second)
	setDefault(&c.MinBackoff, 200*time.Millisecond)
	setDefault(&c.MaxBackoff, 5*time.Second)
	setDefault(&c.MaxPushBytes, 8<<10)
	return c
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}
