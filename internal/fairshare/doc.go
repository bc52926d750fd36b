// Package fairshare decides which client account is served next, so that the
// accounts of a service share the capacity of the whole fleet by their weights.
//
// Each agent holds Clocks: the cost units that it has given to each account,
// and what it last heard of the rest of the fleet. A Home adds up the
// cumulative reports of all agents for the accounts that it is home to. An
// Estimator guesses what a request will cost before its end.
//
// The clock of an account is the service that the fleet has given it, divided
// by its weight. An agent serves the account with the smallest one:
//
//	clock(a) = heard(a) + n(a) * (own(a) / weight(a) + offset(a) + carried(a))
//
// heard(a) is the clock that a's home answered to the agent's last report.
// own(a) is what the agent itself has given to a since that report, and what
// its running requests are expected to take within the horizon. n(a) is the
// number of agents that serve a: it stands for what the others do meanwhile.
// They heard the same clocks and so choose much the same. offset(a) differs
// from agent to agent, so that an account that lacks the service of five
// requests is given five by the fleet, and not one by each agent. carried(a) is
// part of what the agent was ahead with a when it last reported.
//
// docs/FAIRSHARE.md tells how these were chosen, with the figures.
//
// The package does no I/O, reads no clock and draws no random numbers. Its
// types are not safe for concurrent use.
package fairshare
