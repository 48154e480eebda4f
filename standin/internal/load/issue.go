package load

import (
	"context"
	"io"
	"net/netip"
	"sync"

	"jacinthstage/standin/internal/plan"
)

// runIssuance carries an issuance to its end, and its second sending. Both are
// requests of their own and get their own answers; that the call ran once, the
// registries' counts show.
func (t *Generator) runIssuance(ctx context.Context, i plan.Issuance) {
	var first, second outcome
	switch i.Resend {
	case plan.ResendNever:
		first = t.sendIssuance(ctx, i)
	case plan.ResendConcurrently:
		var both sync.WaitGroup
		both.Go(func() { second = t.sendIssuance(ctx, i) })
		first = t.sendIssuance(ctx, i)
		both.Wait()
	case plan.ResendAfterAnswer:
		first = t.sendIssuance(ctx, i)
		second = t.sendIssuance(ctx, i)
	}
	t.stats.countOutcome(first)
	if second != nil {
		t.stats.countOutcome(compareAnswers(first, second))
	}
}

// compareAnswers returns the second outcome, wrong where its answer is not that of the first.
func compareAnswers(first, second outcome) outcome {
	a, ok := first.(answered)
	b, both := second.(answered)
	if ok && both && a.body != b.body {
		return mismatched{}
	}
	return second
}

func (t *Generator) sendIssuance(ctx context.Context, i plan.Issuance) outcome {
	t.stats.countSent()
	return t.retry(ctx, func(host netip.AddrPort) outcome {
		last := t.attemptIssuance(ctx, host, i)
		t.checker.addIssuance(i.Key, last)
		return last
	})
}

// attemptIssuance sends an issuance once.
func (t *Generator) attemptIssuance(ctx context.Context, host netip.AddrPort, i plan.Issuance) outcome {
	answer, last := t.post(ctx, host, "/service/"+t.IssuanceService+"/certificate", i.Key, i.Body)
	if last != nil {
		return last
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return interrupted{}
	}
	return answered{stall: -1, body: string(body)}
}
