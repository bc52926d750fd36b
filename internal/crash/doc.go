// Package crash decides which requests crash the backend servers that run them. It has no I/O:
// the time and what is known of the servers are parameters.
package crash
