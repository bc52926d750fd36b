package event

import "github.com/sirupsen/logrus"

// Events of the spread of settings and of the list of nodes, 4100 to 4199.
var (
	RevisionAdvanced   = Event{4101, logrus.InfoLevel, "revision rose"}
	Joined             = Event{4102, logrus.InfoLevel, "joined the fleet"}
	DeltaRejected      = Event{4103, logrus.ErrorLevel, "a peer's delta cannot be applied"}
	PlatformCallFailed = Event{4104, logrus.WarnLevel, "platform call failed"}
	NodeRecordUpdated  = Event{4105, logrus.InfoLevel, "a node's record was changed after the list of VMs"}
)
