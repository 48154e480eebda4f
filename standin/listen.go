package main

import (
	"context"
	"flag"
	"net/http"
	"net/netip"

	"github.com/google/subcommands"

	"jacinthstage/standin/internal/serve"
)

// listen defines the flag for the address to serve at.
func listen(f *flag.FlagSet, address *netip.AddrPort) {
	*address = netip.MustParseAddrPort("127.0.0.1:0")
	f.TextVar(address, "listen", *address, "`address` to serve at, IP:PORT; port 0 takes a free one")
}

// run serves handler until ctx ends, and logs an error if it can't.
func run(ctx context.Context, name string, address netip.AddrPort, handler http.Handler) subcommands.ExitStatus {
	log := serve.Logger()
	if err := serve.Run(ctx, name, address, handler, log); err != nil {
		log.Error(err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
