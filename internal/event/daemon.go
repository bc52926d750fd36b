package event

import "github.com/sirupsen/logrus"

// Events of package daemon, which all daemons share, 1004 to 1099.
var (
	StopForced  = Event{1004, logrus.WarnLevel, "stopped at once by an interrupt"}
	RunFailed   = Event{1005, logrus.ErrorLevel, "failed with an error"}
	DrainFailed = Event{1006, logrus.ErrorLevel, "drain ended with work still in progress"}
)
