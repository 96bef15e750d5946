// Package version names the build.
package version

import "runtime/debug"

// Release is the release that this source tree leads to.
const Release = "0.1.0-dev"

// String returns the release and, when the build recorded it, the revision.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Release + " " + s.Value
		}
	}
	return Release
}
