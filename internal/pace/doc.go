// Package pace knows how fast each backend server works: what the server tells with
// its answers, and what routers see of it. It is pure: moments are handed to it.
//
// Servers of one service differ, and share their machines with others. A router that
// takes them for alike fills the slow ones and leaves the fast ones half empty.
package pace
