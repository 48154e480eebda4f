package command

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"jacinthstage/jacinthd/archive"
	"jacinthstage/stage/patch"
)

type patchCommand struct {
	output
	platform
	base               int64
	author, reason, id string
}

func (*patchCommand) Name() string     { return "patch" }
func (*patchCommand) Synopsis() string { return "send a patch" }
func (*patchCommand) Usage() string {
	return `patch -platform URL -base N -author NAME -reason TEXT FILE:
  Send the changes in FILE, JSON or CBOR, as a patch of configuration version N.
  It is accepted whole as version N+1, or refused whole (exit status 1) with
  the item at fault or the number that it lost to. FILE has the form
  {"changes":[{"put":{"adapter":{...}}},{"remove":{"rule":"NAME"}}]}; it may hold
  base, author and reason as well. Where the outcome is unknown, the same patch
  sent again with its -id is accepted once only.
`
}

func (c *patchCommand) SetFlags(f *flag.FlagSet) {
	c.platform.flags(f)
	c.jsonFlag(f)
	f.Int64Var(&c.base, "base", -1, "version that the patch changes; that in FILE, else 0, where not given")
	f.StringVar(&c.author, "author", "", "who sends the patch; that in FILE where not given")
	f.StringVar(&c.reason, "reason", "", "why; that in FILE where not given")
	f.StringVar(&c.id, "id", "", "unique id; drawn at random where not given")
}

// A patchAnswer is the outcome of a patch.
type patchAnswer struct {
	Outcome string `json:"outcome"` // accepted, refused, lost or unknown
	Number  uint64 `json:"number"`  // the patch's number, or the one that it lost to
	ID      string `json:"id"`
	Item    string `json:"item,omitempty"` // kind of the item at fault
	Name    string `json:"name,omitempty"` // its name
	Reason  string `json:"reason,omitempty"`
}

func (c *patchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage("patch: give one FILE")
	}
	p, err := c.read(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	s, err := c.open()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return c.report(p, archive.Propose(ctx, s, p))
}

// read returns the patch in file, with what the flags say.
func (c *patchCommand) read(file string) (patch.Patch, error) {
	open, err := os.Open(file)
	if err != nil {
		return patch.Patch{}, err
	}
	defer open.Close()
	data, err := io.ReadAll(io.LimitReader(open, patch.MaxSize+1))
	if err != nil {
		return patch.Patch{}, err
	}
	p, err := patch.Decode(data)
	if err != nil {
		return p, errors.WithMessage(err, file)
	}
	if c.base >= 0 {
		p.Base = uint64(c.base)
	}
	p.Number = p.Base + 1
	p.Time = time.Now().UTC()
	for _, field := range []struct{ into, from *string }{{&p.Author, &c.author}, {&p.Reason, &c.reason}, {&p.ID, &c.id}} {
		if *field.from != "" {
			*field.into = *field.from
		}
	}
	if p.ID == "" {
		p.ID = rand.Text()
	}
	return p, nil
}

func (c *patchCommand) report(p patch.Patch, err error) subcommands.ExitStatus {
	answer := patchAnswer{Outcome: "accepted", Number: p.Number, ID: p.ID}
	var refusal *patch.Refusal
	var lost *archive.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		answer.Outcome, answer.Item, answer.Name, answer.Reason = "refused", refusal.Item, refusal.Name, refusal.Reason
	case errors.As(err, &lost):
		answer.Outcome, answer.Number, answer.Reason = "lost", lost.Number, lost.Error()
	case errors.Is(err, archive.ErrUnknownOutcome):
		answer.Outcome, answer.Reason = "unknown", err.Error()
	default:
		return c.fail(err)
	}
	status := c.print(answer, func(w io.Writer) {
		if err == nil {
			fmt.Fprintf(w, "accepted: version %d\n", answer.Number)
		}
	})
	if err == nil {
		return status
	}
	if !c.json {
		fmt.Fprintf(c.stderr, "jacinthctl: %s: %v (id %s)\n", answer.Outcome, err, p.ID)
	}
	return subcommands.ExitFailure
}
