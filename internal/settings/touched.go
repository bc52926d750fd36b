package settings

import "slices"

// touchedPaths lists the nodes at and below which changes may affect effective
// values.
func touchedPaths(changes []Change) []Path {
	var touched []Path
	for _, change := range changes {
		for _, path := range change.affectedPaths() {
			if !slices.Contains(touched, path) {
				touched = append(touched, path)
			}
		}
	}
	return touched
}
