// Package pace estimates how fast each backend server works, by what the server reports
// with its answers and by what routers observe. It reads no clock: callers pass the time.
//
// Servers of one service differ in speed and share their machines with other programs. A
// router that treats them alike overloads the slow ones while the fast ones have room.
package pace
