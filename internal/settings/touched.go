package settings

import "slices"

// touchedPaths lists the nodes at and below which changes may alter what is in
// force.
func touchedPaths(changes []Change) []Path {
	var touched []Path
	for _, change := range changes {
		for _, path := range change.places() {
			if !slices.Contains(touched, path) {
				touched = append(touched, path)
			}
		}
	}
	return touched
}
