package event

import "github.com/sirupsen/logrus"

// Events of the agent.
var (
	BackendUp            = Event{3001, logrus.InfoLevel, "backend server answers"}
	BackendDown          = Event{3002, logrus.WarnLevel, "backend server does not answer: no work is taken"}
	AgentDraining        = Event{3003, logrus.InfoLevel, "agent takes no new work"}
	AgentAcceptsWork     = Event{3004, logrus.InfoLevel, "agent takes new work again"}
	DrainOrdered         = Event{3005, logrus.InfoLevel, "operator ordered a change of draining"}
	BackendCrashed       = Event{3006, logrus.WarnLevel, "backend server went down during a run"}
	RequestSuspect       = Event{3007, logrus.WarnLevel, "request was in flight at a crash: suspect"}
	RequestConvicted     = Event{3008, logrus.WarnLevel, "request crashes backend servers: convicted"}
	AnswerDropped        = Event{3009, logrus.WarnLevel, "answer dropped before its router acknowledged it"}
	HeldAnswersFull      = Event{3010, logrus.WarnLevel, "held answers reached their bound: no work is taken"}
	GrantLapsed          = Event{3011, logrus.WarnLevel, "router let a grant lapse: its offers are dropped"}
	ServiceNotConfigured = Event{3012, logrus.WarnLevel, "settings have no such service: no work is taken"}
)
