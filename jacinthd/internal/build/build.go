// Package build tells from which commit a program was built.
package build

import "runtime/debug"

// commitLength is the number of hexadecimal digits of a commit that are told.
const commitLength = 12

// unknown stands for a program that was built outside of a repository.
const unknown = "unknown"

// commit is set by the linker where the go command doesn't record it:
// -ldflags "-X jacinthstage/jacinthd/internal/build.commit=COMMIT".
var commit string

// Commit returns the commit from which this program was built, with a plus sign behind it if
// files had been changed.
func Commit() string {
	if commit != "" {
		return commit
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	revision, changed := unknown, ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value[:min(commitLength, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				changed = "+"
			}
		}
	}
	return revision + changed
}
