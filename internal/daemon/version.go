package daemon

import "runtime/debug"

// release is the version that the sources belong to.
const release = "0.1.0"

// Version returns the release and, when the build knows it, the commit.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return release + " " + setting.Value
		}
	}
	return release
}
