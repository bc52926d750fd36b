package daemon

import "runtime/debug"

// release is the version of the source code.
const release = "0.1.0"

// Version returns the release and, if the build recorded it, the commit.
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
