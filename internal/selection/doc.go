// Package selection chooses the backend server for a request. It is pure: all
// that it knows is handed to it.
package selection
