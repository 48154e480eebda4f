package load

import (
	"context"
	"io"
	"net/netip"
	"sync"

	"jacinthstage/standin/internal/plan"
)

// issue carries an issuance to its end, and its second sending. Both are
// requests of their own and get their own answers; that the call ran once, the
// registries' counts show.
func (t *Tool) issue(ctx context.Context, i plan.Issuance) {
	var first, second outcome
	switch i.Again {
	case plan.Never:
		first = t.call(ctx, i)
	case plan.Beside:
		var both sync.WaitGroup
		both.Go(func() { second = t.call(ctx, i) })
		first = t.call(ctx, i)
		both.Wait()
	case plan.Behind:
		first = t.call(ctx, i)
		second = t.call(ctx, i)
	}
	t.tally.end(first)
	if second != nil {
		t.tally.end(alike(first, second))
	}
}

// alike returns the second outcome, wrong where its answer is not that of the first.
func alike(first, second outcome) outcome {
	a, ok := first.(answered)
	b, both := second.(answered)
	if ok && both && a.body != b.body {
		return wrong{}
	}
	return second
}

func (t *Tool) call(ctx context.Context, i plan.Issuance) outcome {
	t.tally.sent()
	return t.tries(ctx, func(host netip.AddrPort) outcome {
		last := t.certificate(ctx, host, i)
		t.proof.issuance(i.Key, last)
		return last
	})
}

// certificate sends an issuance once.
func (t *Tool) certificate(ctx context.Context, host netip.AddrPort, i plan.Issuance) outcome {
	answer, last := t.post(ctx, host, "/service/"+t.Service+"/certificate", i.Key, i.Body)
	if last != nil {
		return last
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return cut{}
	}
	return answered{stall: -1, body: string(body)}
}
