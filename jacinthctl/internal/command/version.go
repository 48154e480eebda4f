package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionCommand struct{ output }

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "show the program's version" }
func (*versionCommand) Usage() string {
	return `version:
  Show the commit that the program was built from and the Go version.
`
}

func (c *versionCommand) SetFlags(f *flag.FlagSet) { c.addJSONFlag(f) }

// A versionInfo describes the build of the program.
type versionInfo struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

func (c *versionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.usageError("version: no arguments")
	}
	info := versionInfo{Version: "unknown", Commit: "unknown"}
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Version, info.Go = build.Main.Version, build.GoVersion
		for _, s := range build.Settings {
			if s.Key == "vcs.revision" {
				info.Commit = s.Value
			}
		}
	}
	return c.print(info, func(w io.Writer) {
		fmt.Fprintf(w, "jacinthctl %s, commit %s, %s\n", info.Version, info.Commit, info.Go)
	})
}
