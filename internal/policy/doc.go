// Package policy decides whether a request is sent to a model engine or a plain server,
// and how loaded an engine or server may be to take it. The decisions depend on nothing
// but their arguments and the state of the receivers.
//
// A request for a model is in one of four tiers. Streams that go on come before all new
// requests. Of these, requests within the account's share
// come first and accept the longest wait, requests beyond the share accept a shorter wait
// and are admitted with some probability, and all others use idle capacity only.
package policy
