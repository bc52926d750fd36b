// Package settings holds the tree by which operators steer the fleet: its
// nodes, the values that they inherit and override, the edits that change it,
// and the form in which it is kept on the platform.
package settings
