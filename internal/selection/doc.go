// Package selection chooses the backend server for a request. Its functions depend on
// nothing but their arguments.
package selection
