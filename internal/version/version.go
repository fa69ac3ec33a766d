// Package version reports the version of the running build.
package version

import "runtime/debug"

// String returns the module's version or, for a build from a Git work tree, the
// commit it was built from.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+modified"
		}
	}
	if revision == "" {
		return info.Main.Version
	}
	return revision + modified
}
