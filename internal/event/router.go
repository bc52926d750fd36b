package event

import "github.com/sirupsen/logrus"

// Events of routers, 2001 to 2999.
var (
	RouterSettings       = Event{2001, logrus.InfoLevel, "settings in force"}
	RouterAnswerResumed  = Event{2002, logrus.InfoLevel, "connection to an agent broke: the answer is resumed on a new one"}
	RouterRequestFenced  = Event{2003, logrus.WarnLevel, "outcome of a request is unclear: it is fenced at the agent"}
	RouterOutcomeUnknown = Event{2004, logrus.WarnLevel, "request ended with an unknown outcome"}
)
