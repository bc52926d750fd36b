package event

import "github.com/sirupsen/logrus"

// Events of the distribution of settings and of the list of nodes, 4100 to 4199.
var (
	RevisionAdvanced   = Event{4101, logrus.InfoLevel, "revision advanced"}
	Joined             = Event{4102, logrus.InfoLevel, "joined the fleet"}
	DeltaRejected      = Event{4103, logrus.ErrorLevel, "delta of a peer cannot be applied"}
	PlatformCallFailed = Event{4104, logrus.WarnLevel, "platform call failed"}
	NodeRecordUpdated  = Event{4105, logrus.InfoLevel, "node record changed after the list of VMs"}
)
