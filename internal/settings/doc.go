// Package settings implements the hierarchical settings of the fleet: the tree
// of nodes with inherited and overridden values, the edits that operators make
// to it, and its storage on the platform.
package settings
