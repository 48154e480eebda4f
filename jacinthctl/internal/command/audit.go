package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/store"
)

// described is the number of changes that a row of the table names.
const described = 3

type auditCommand struct {
	reader
	last uint64
}

func (*auditCommand) Name() string     { return "audit" }
func (*auditCommand) Synopsis() string { return "show the accepted patches" }
func (*auditCommand) Usage() string {
	return `audit -platform URL [-last N]:
  Show the newest accepted patches: number, time, author, id, reason, changes.
`
}

func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	c.reader.SetFlags(f)
	f.Uint64Var(&c.last, "last", 50, "number of patches")
}

func (c *auditCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return list(ctx, f, &c.reader, c.newest, func(w io.Writer, patches []patch.Patch) {
		fmt.Fprintln(w, "NUMBER\tTIME\tAUTHOR\tID\tREASON\tCHANGES")
		for _, p := range patches {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", p.Number, p.Time.Format(time.RFC3339), plain(p.Author), plain(p.ID), plain(p.Reason), summary(p))
		}
	})
}

// newest returns the newest accepted patches, as many as asked for.
func (c *auditCommand) newest(ctx context.Context, s store.Store) ([]patch.Patch, error) {
	config, err := archive.Read(ctx, s)
	if err != nil {
		return nil, err
	}
	patches := []patch.Patch{}
	_, err = archive.PatchesAfter(ctx, s, config.Version-min(c.last, config.Version), func(a patch.StoredPatch) {
		p, err := patch.Decode(a.Data)
		if err != nil {
			p = patch.Patch{Number: a.Number, Reason: err.Error()}
		}
		patches = append(patches, p)
	})
	return patches, err
}

// summary names the first changes of a patch.
func summary(p patch.Patch) string {
	var parts []string
	for _, change := range p.Changes[:min(len(p.Changes), described)] {
		parts = append(parts, patch.Describe(change))
	}
	if more := len(p.Changes) - described; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, ", ")
}

// plain keeps a text on its row.
func plain(text string) string { return strings.Join(strings.Fields(text), " ") }
