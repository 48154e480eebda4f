package command

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"jacinthstage/jacinthd/keys"
)

const folderMode = 0o700

type keysCommand struct {
	output
	folder string
}

func (*keysCommand) Name() string     { return "keys" }
func (*keysCommand) Synopsis() string { return "make the authority and keys of hosts" }
func (*keysCommand) Usage() string {
	return `keys -folder DIR HOST=IP[,IP]...:
  Make a certificate and a private key for each host, DIR/HOST.pem and
  DIR/HOST.key, signed by the authority in DIR, which is made where there is
  none. Nothing is overwritten. Hosts need authority.pem and their own two
  files; keep authority.key away from them.
`
}

func (c *keysCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", "keys", "where the files are written")
}

func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := os.MkdirAll(c.folder, folderMode); err != nil {
		return c.fail(err)
	}
	now := time.Now()
	authority, err := keys.Load(c.folder)
	if errors.Is(err, os.ErrNotExist) {
		authority, err = keys.Create(c.folder, now)
	}
	if err != nil {
		return c.fail(err)
	}
	for _, arg := range f.Args() {
		name, addresses, err := hostArgument(arg)
		if err != nil {
			return c.usage("keys: %v", err)
		}
		if err := authority.IssueHost(c.folder, name, addresses, now); err != nil {
			return c.fail(err)
		}
		fmt.Fprintf(c.stdout, "%s: certificate and key written\n", name)
	}
	return subcommands.ExitSuccess
}

// hostArgument reads HOST=IP[,IP].
func hostArgument(arg string) (string, []netip.Addr, error) {
	name, list, ok := strings.Cut(arg, "=")
	if !ok {
		return "", nil, errors.Errorf("%q is not HOST=IP", arg)
	}
	var addresses []netip.Addr
	for _, text := range strings.Split(list, ",") {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return "", nil, errors.Errorf("%q is not HOST=IP", arg)
		}
		addresses = append(addresses, address)
	}
	return name, addresses, nil
}
