package version

import "runtime/debug"

// OwnBuild returns the build of the running program, as recorded by the Go tool chain.
func OwnBuild() (b Build) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Dirty = s.Value == "true"
		}
	}
	return b
}
