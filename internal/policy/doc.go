// Package policy decides whether a request is sent to a model engine or a plain server
// at all, and how much may be ahead of it there. It is pure: all that it knows
// is handed to it.
//
// A request for a model is in one of three tiers. What its account is owed comes first and
// may wait the longest; what goes beyond the share waits less and is taken by
// odds; everything else takes only what is idle. Each file holds one decision
// and opens with the load that it answers.
package policy
