package load

import (
	"context"
	"io"
	"net/netip"
	"sync"

	"jacinthstage/standin/internal/plan"
)

// runIssuance runs an issuance and, if the plan asks for it, sends it a second
// time with the same key. Each sending is a request of its own and gets its own
// answer; the registries' counts show whether the call ran only once.
func (g *Generator) runIssuance(ctx context.Context, i plan.Issuance) {
	var first, second outcome
	switch i.Resend {
	case plan.ResendNever:
		first = g.sendIssuance(ctx, i)
	case plan.ResendConcurrently:
		var both sync.WaitGroup
		both.Go(func() { second = g.sendIssuance(ctx, i) })
		first = g.sendIssuance(ctx, i)
		both.Wait()
	case plan.ResendAfterAnswer:
		first = g.sendIssuance(ctx, i)
		second = g.sendIssuance(ctx, i)
	}
	g.stats.countOutcome(first)
	if second != nil {
		g.stats.countOutcome(compareAnswers(first, second))
	}
}

// compareAnswers returns the second outcome, or mismatched if both were answered
// with different bodies.
func compareAnswers(first, second outcome) outcome {
	a, firstOK := first.(answered)
	b, secondOK := second.(answered)
	if firstOK && secondOK && a.body != b.body {
		return mismatched{}
	}
	return second
}

// sendIssuance sends an issuance until it has a final outcome.
func (g *Generator) sendIssuance(ctx context.Context, i plan.Issuance) outcome {
	g.stats.countSent()
	return g.retry(ctx, func(host netip.AddrPort) outcome {
		result := g.attemptIssuance(ctx, host, i)
		g.checker.addIssuance(i.Key, result)
		return result
	})
}

// attemptIssuance sends an issuance once.
func (g *Generator) attemptIssuance(ctx context.Context, host netip.AddrPort, i plan.Issuance) outcome {
	answer, result := g.post(ctx, host, "/service/"+g.IssuanceService+"/certificate", i.Key, i.Body)
	if result != nil {
		return result
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return interrupted{}
	}
	return answered{stall: -1, body: string(body)}
}
