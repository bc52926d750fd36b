package event

import "github.com/sirupsen/logrus"

// Events of the process kit that all daemons share, 1004 to 1099.
var (
	StopForced  = Event{1004, logrus.WarnLevel, "stopped at once by an interrupt"}
	RunFailed   = Event{1005, logrus.ErrorLevel, "ended by an error"}
	DrainFailed = Event{1006, logrus.ErrorLevel, "draining ended before all work in progress was done"}
)
