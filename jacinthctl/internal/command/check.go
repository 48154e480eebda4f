package command

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"jacinthstage/jacinthd/settings"
	"jacinthstage/stage/patch"
)

type checkCommand struct {
	output
	patches bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings or patch files without a platform" }
func (*checkCommand) Usage() string {
	return `check FILE...:
  Check settings files. Each fault is one line, FILE: section.key: reason.
check -patches FILE...:
  Check that the patch files apply in that order, the first to an empty
  configuration. Author, reason and id may be missing.
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.patches, "patches", false, "the files are patches")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.usageError("check: give a FILE")
	}
	if c.patches {
		return c.checkPatches(f.Args())
	}
	status := subcommands.ExitSuccess
	for _, file := range f.Args() {
		if _, err := settings.Read(file); err != nil {
			fmt.Fprintln(c.stderr, err)
			status = subcommands.ExitFailure
			continue
		}
		fmt.Fprintf(c.stdout, "%s: ok\n", file)
	}
	return status
}

// checkPatches applies the patch files in order, the first one to an empty
// configuration, and reports the first error.
func (c *checkCommand) checkPatches(files []string) subcommands.ExitStatus {
	config := &patch.Config{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return c.fail(err)
		}
		p, err := patch.Decode(data)
		if err == nil {
			p.Base, p.Number, p.ID = config.Version, config.Version+1, "check"
			p.Author, p.Reason = cmp.Or(p.Author, "check"), cmp.Or(p.Reason, "check")
			config, err = config.Apply(p)
		}
		if err != nil {
			fmt.Fprintf(c.stderr, "%s: %v\n", file, err)
			return subcommands.ExitFailure
		}
		fmt.Fprintf(c.stdout, "%s: ok\n", file)
	}
	return subcommands.ExitSuccess
}
