// Package version identifies the build.
package version

import "runtime/debug"

// Release is the release that this source tree develops.
const Release = "0.1.0-dev"

// String returns the release, followed by the VCS revision if the build recorded it.
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
