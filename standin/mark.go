package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"jacinthstage/standin/internal/presence"
)

type markCommand struct {
	platform netip.AddrPort
	state    string
	kind     string
}

func (*markCommand) Name() string     { return "mark" }
func (*markCommand) Synopsis() string { return "change entries of the platform's host list" }
func (*markCommand) Usage() string    { return "mark [flags] NAME...\n" }

func (c *markCommand) SetFlags(f *flag.FlagSet) {
	c.platform = netip.MustParseAddrPort("127.0.0.1:7000")
	f.TextVar(&c.platform, "platform", c.platform, "`address` of the platform, IP:PORT")
	f.StringVar(&c.state, "state", "live", "live, leaving or gone")
	f.StringVar(&c.kind, "kind", "host", "host or target")
}

func (c *markCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for _, name := range f.Args() {
		if err := c.putEntry(ctx, name); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// putEntry changes the entry of one host or target.
func (c *markCommand) putEntry(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	body, err := json.Marshal(presence.Entry{Name: name, State: c.state, Kind: c.kind})
	if err != nil {
		return errors.Wrap(err, "mark")
	}
	url := "http://" + c.platform.String() + "/admin/host/" + name
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "mark")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "mark")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("mark: %s: %s", name, answer.Status)
	}
	return nil
}
