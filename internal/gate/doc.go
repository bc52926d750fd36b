// Package gate handles callers' requests: it finds a request's route and account, decides
// whether, when and to which backend server it is sent, and returns the answer.
package gate
