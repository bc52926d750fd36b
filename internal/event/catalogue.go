package event

import "github.com/sirupsen/logrus"

// Ranges: 1000 all daemons, 2000 router, 3000 agent, 4000 settings and
// membership, 5000 platform, 6000 stand-ins, 7000 load generator.
var (
	Started  = Event{1001, logrus.InfoLevel, "started"}
	Draining = Event{1002, logrus.InfoLevel, "draining: no new work is accepted"}
	Stopped  = Event{1003, logrus.InfoLevel, "stopped"}
)
