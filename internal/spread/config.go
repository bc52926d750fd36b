package spread

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Config describes the node and sets how it exchanges updates. Zero numbers and
// durations take their defaults.
type Config struct {
	Self  fleet.Node
	Seeds []fleet.Address // peers to ask if the platform is down at the start
	Seed  uint64          // of the random number generator

	FanOut              int           // number of peers to which an update is pushed
	WatchersPerZone     int           // nodes per zone that watch the platform
	Reconcilers         int           // nodes of the fleet that read the list of VMs and update records
	PushInterval        time.Duration // minimum time between two pushes of a node
	MembersPushInterval time.Duration // the same for updates of the list of nodes alone
	ExchangeInterval    time.Duration // time between two exchanges with a random peer
	PartnerTTL          time.Duration // time for which a node exchanges with the same peer
	WatchWait           time.Duration // maximum time for which the platform holds a watch
	ReconcileInterval   time.Duration // time between two readings of the list of VMs
	JoinTimeout         time.Duration // time after which a node without answers from peers trusts the platform
	FallbackInterval    time.Duration // time without a message from a peer after which the platform is read
	MinBackoff          time.Duration // delay after the first failed platform call
	MaxBackoff          time.Duration // maximum delay after consecutive failures
	MaxPushBytes        int           // a larger delta is not pushed; the peer has to pull it
}

// withDefaults replaces zero values with the defaults.
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

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
