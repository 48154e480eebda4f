// Package command implements the subcommands of jacinthctl, one per file.
//
// A command prints a table or, with -json, a single JSON value. The exit status
// is 0 on success, 1 if the command failed or a patch was rejected, and 2 on a
// usage error.
package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"jacinthstage/jacinthd/settings"
	"jacinthstage/jacinthd/store/remote"
	"jacinthstage/stage/store"
)

// callTimeout limits how long a command waits for the object API.
const callTimeout = 30 * time.Second

// Run runs the command given by args and returns its exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("jacinthctl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, "jacinthctl")
	commander.Output, commander.Error = stdout, stderr
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	out := output{stdout: stdout, stderr: stderr}
	for _, c := range []subcommands.Command{
		&patchCommand{output: out}, &showCommand{output: out}, &auditCommand{queryCommand: queryCommand{output: out}},
	} {
		commander.Register(c, "configuration")
	}
	for _, c := range []subcommands.Command{
		&hostsCommand{queryCommand{output: out}}, &targetsCommand{queryCommand{output: out}}, &leasesCommand{queryCommand{output: out}},
	} {
		commander.Register(c, "state")
	}
	for _, c := range []subcommands.Command{
		&checkCommand{output: out}, &keysCommand{output: out}, &versionCommand{output: out},
	} {
		commander.Register(c, "hosts")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// output prints the results and errors of a command.
type output struct {
	stdout, stderr io.Writer
	json           bool
}

// addJSONFlag adds the -json flag.
func (o *output) addJSONFlag(f *flag.FlagSet) {
	f.BoolVar(&o.json, "json", false, "print JSON")
}

// print prints value as JSON if the -json flag is set, and otherwise the table
// that rows writes with tabs between the cells.
func (o *output) print(value any, rows func(w io.Writer)) subcommands.ExitStatus {
	if o.json {
		encoder := json.NewEncoder(o.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return o.fail(err)
		}
		return subcommands.ExitSuccess
	}
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	rows(w)
	if err := w.Flush(); err != nil {
		return o.fail(err)
	}
	return subcommands.ExitSuccess
}

// fail prints err on one line and returns the status of a failure.
func (o *output) fail(err error) subcommands.ExitStatus {
	fmt.Fprintf(o.stderr, "jacinthctl: %v\n", err)
	return subcommands.ExitFailure
}

// usageError prints a message and returns the status of a usage error.
func (o *output) usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(o.stderr, "jacinthctl: "+format+"\n", args...)
	return subcommands.ExitUsageError
}

// platform locates the object API, by its address or by the settings of a host.
type platform struct {
	address, settings string
}

// addFlags adds the -platform and -settings flags.
func (p *platform) addFlags(f *flag.FlagSet) {
	f.StringVar(&p.address, "platform", "", "address of the object API, http://IP:PORT")
	f.StringVar(&p.settings, "settings", "", "settings file of a host, read for platform.address")
}

// openStore returns a client of the object API.
func (p *platform) openStore() (*remote.Store, error) {
	address := p.address
	if address == "" && p.settings != "" {
		s, err := settings.Read(p.settings)
		if err != nil {
			return nil, err
		}
		address = s.Platform.Address
	}
	if address == "" {
		return nil, errors.New("give -platform or -settings")
	}
	return remote.New(address)
}

// A queryCommand is the common part of commands that show state from the object API.
type queryCommand struct {
	output
	platform
}

// SetFlags implements subcommands.Command.
func (r *queryCommand) SetFlags(f *flag.FlagSet) {
	r.addFlags(f)
	r.addJSONFlag(f)
}

// runQuery executes a command without arguments: it calls read with the object
// API and prints the result, with rows as the table.
func runQuery[T any](ctx context.Context, f *flag.FlagSet, r *queryCommand, read func(context.Context, store.Store) (T, error), rows func(io.Writer, T)) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return r.usageError("%s: no arguments", f.Name())
	}
	s, err := r.openStore()
	if err != nil {
		return r.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := read(ctx, s)
	if err != nil {
		return r.fail(err)
	}
	return r.print(value, func(w io.Writer) { rows(w, value) })
}
