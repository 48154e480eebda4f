package command

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/stage/adapter"
	"jacinthstage/stage/caller"
	"jacinthstage/stage/patch"
	"jacinthstage/stage/rule"
	"jacinthstage/stage/service"
	"jacinthstage/stage/target"
)

type showCommand struct {
	output
	platform
}

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "show the newest configuration" }
func (*showCommand) Usage() string {
	return `show -platform URL [adapters|callers|rules|services|targets [NAME]]:
  Show the newest configuration: how much it holds, or the entries of one kind.
  With -json the entries are printed in the form of a patch.
`
}

func (c *showCommand) SetFlags(f *flag.FlagSet) {
	c.platform.addFlags(f)
	c.addJSONFlag(f)
}

// printers maps each kind of entry to the function that prints a table of them.
var printers = map[string]func(w io.Writer, c *patch.Config, name string){
	"adapters": func(w io.Writer, c *patch.Config, name string) {
		printEntries(w, "NAME\tSERVICE\tVERSIONS", c.Adapters, name, func(a adapter.Adapter) string {
			return fmt.Sprintf("%s\t%s\t%s", a.Name, a.Service, strings.Join(a.Versions, " "))
		})
	},
	"callers": func(w io.Writer, c *patch.Config, name string) {
		printEntries(w, "NAME\tTOKENS\tWEIGHT\tPRIORITY", c.Callers, name, func(a caller.Caller) string {
			return fmt.Sprintf("%s\t%d\t%d\t%d", a.Name, len(a.Tokens), max(a.Weight, 1), a.Priority)
		})
	},
	"rules": func(w io.Writer, c *patch.Config, name string) {
		printEntries(w, "NAME\tCALLER\tADAPTER\tVERSIONS\tSERVICE", c.Rules, name, func(r rule.Rule) string {
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%s", r.Name, r.Caller, orDash(r.Adapter), orDash(strings.Join(r.Versions, " ")), orDash(r.Service))
		})
	},
	"services": func(w io.Writer, c *patch.Config, name string) {
		printEntries(w, "NAME\tKIND\tDETAIL", c.Services, name, func(s service.Service) string {
			return s.Name + "\t" + describeKind(s)
		})
	},
	"targets": func(w io.Writer, c *patch.Config, name string) {
		printEntries(w, "NAME\tSERVICE\tADDRESS\tREGION\tZONE\tSLOTS\tBATCH", c.Targets, name, func(t target.Target) string {
			return fmt.Sprintf("%s\t%s\t%v\t%s\t%s\t%d\t%d", t.Name, t.Service, t.Address, t.Region, t.Zone, t.Slots, t.Batch)
		})
	},
}

func (c *showCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kind, name := f.Arg(0), f.Arg(1)
	if f.NArg() > 2 || kind != "" && printers[kind] == nil {
		return c.usageError("show: give one of %s, and a name", strings.Join(slices.Sorted(maps.Keys(printers)), ", "))
	}
	s, err := c.openStore()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	config, err := archive.Read(ctx, s)
	if err != nil {
		return c.fail(err)
	}
	form, err := entriesAsPatch(config, kind, name)
	if err != nil {
		return c.fail(err)
	}
	return c.print(form, func(w io.Writer) {
		if kind != "" {
			printers[kind](w, config, name)
			return
		}
		fmt.Fprintf(w, "VERSION\tSERVICES\tTARGETS\tADAPTERS\tCALLERS\tRULES\n%d\t%d\t%d\t%d\t%d\t%d\n", config.Version,
			len(config.Services), len(config.Targets), len(config.Adapters), len(config.Callers), len(config.Rules))
	})
}

// entriesAsPatch returns a patch that puts the entries of the given kind and name;
// an empty kind or name matches all.
func entriesAsPatch(config *patch.Config, kind, name string) (patch.Patch, error) {
	form := patch.Patch{Base: config.Version}
	changes, err := config.Changes()
	for _, change := range changes {
		words := strings.Fields(patch.Describe(change)) // such as "put KIND NAME"
		if kind != "" && words[1]+"s" != kind || name != "" && words[2] != name {
			continue
		}
		form.Changes = append(form.Changes, change)
	}
	return form, err
}

// printEntries prints the entries sorted by name, or only the one with the given
// name if it is not empty.
func printEntries[V any](w io.Writer, head string, entries map[string]V, name string, row func(V) string) {
	fmt.Fprintln(w, head)
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if name == "" || key == name {
			fmt.Fprintln(w, row(entries[key]))
		}
	}
}

// describeKind returns the kind of a service and its details, separated by a tab.
func describeKind(s service.Service) string {
	switch kind := s.Kind().(type) {
	case *service.Engine:
		return fmt.Sprintf("engine\tmodel %s, fenced %v", kind.Model, kind.Fenced)
	case *service.Plain:
		var calls []string
		for _, call := range kind.Idempotent {
			calls = append(calls, call.Method+" "+call.Path)
		}
		return "plain\tidempotent " + orDash(strings.Join(calls, ", "))
	default:
		return "none\t-"
	}
}

// orDash returns text, or a dash for an empty cell.
func orDash(text string) string { return cmp.Or(text, "-") }
