// Package fairshare decides which client account is served next, so that the
// accounts of a service share the capacity of the whole fleet by their weights.
//
// Each agent holds Clocks: the cost units that it has given to each account,
// and what it last heard of the rest of the fleet. A Home adds up the
// cumulative reports of all agents for the accounts that it is home to. An
// Estimator guesses what a request will cost before its end.
//
// The clock of an account is the service that the fleet has given it, divided
// by its weight:
//
//	clock(a) = (total(a) + n(a) * own(a)) / weight(a)
//
// total(a) is the fleet's total at the agent's last report, own(a) what the
// agent itself has begun for a since that report, and n(a) the number of agents
// that serve a. The factor n(a) stands for what the other agents do in the
// meantime: they see the same clocks and so do much the same.
//
// The package does no I/O, reads no clock and draws no random numbers. Its
// types are not safe for concurrent use.
package fairshare
