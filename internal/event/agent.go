package event

import "github.com/sirupsen/logrus"

// Events of the agent, 3001 to 3999.
var (
	BackendUp            = Event{3001, logrus.InfoLevel, "backend server answers"}
	BackendDown          = Event{3002, logrus.WarnLevel, "backend server does not answer: no new work is accepted"}
	AgentDraining        = Event{3003, logrus.InfoLevel, "agent accepts no new work"}
	AgentAcceptsWork     = Event{3004, logrus.InfoLevel, "agent accepts new work again"}
	DrainOrdered         = Event{3005, logrus.InfoLevel, "operator changed the drain state"}
	BackendCrashed       = Event{3006, logrus.WarnLevel, "backend server crashed during a run"}
	RequestSuspect       = Event{3007, logrus.WarnLevel, "request was in flight at a crash: marked suspect"}
	RequestConvicted     = Event{3008, logrus.WarnLevel, "request convicted of crashing backend servers"}
	AnswerDropped        = Event{3009, logrus.WarnLevel, "answer dropped before its router acknowledged it"}
	HeldAnswersFull      = Event{3010, logrus.WarnLevel, "held answers reached their limit: no new work is accepted"}
	GrantLapsed          = Event{3011, logrus.WarnLevel, "grant of a router expired: its offers are dropped"}
	ServiceNotConfigured = Event{3012, logrus.WarnLevel, "service is not in the settings: no new work is accepted"}
)
