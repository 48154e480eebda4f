package direct

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/jacinthd/internal/proxy"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/dispatch"
)

// exchange sends the request to the attempt's target, through another host if this one can't
// reach it.
func (req *callerRequest) exchange(ctx context.Context, attempt *dispatch.Attempt, r outbound.Request) (proxy.Exchange, error) {
	t := attempt.Target
	req.via = ""
	if req.Reach.Links.Indirect(time.Now(), t.Address) {
		return req.exchangeThrough(ctx, t, r)
	}
	x, err := req.Pool.Do(ctx, t.Address, r, outbound.AnswersTo(req.Headers, r.ID))
	if err == nil {
		return proxy.OwnExchange{Exchange: x}, nil
	}
	var fault *outbound.Error
	if !errors.As(err, &fault) || !fault.DialFailed || ctx.Err() != nil {
		return nil, err
	}
	through, throughErr := req.exchangeThrough(ctx, t, r)
	if errors.Is(throughErr, proxy.ErrNoProxy) {
		return nil, err
	}
	return through, throughErr
}

func (req *callerRequest) exchangeThrough(ctx context.Context, t catalog.Target, r outbound.Request) (proxy.Exchange, error) {
	x, via, err := (proxy.Client{Peers: req.Peers}).Send(ctx, t, r, time.Until(req.deadline))
	req.via = via
	outcome := "sent"
	if err != nil {
		outcome = "failed"
	}
	req.Metrics.Indirect.WithLabelValues(outcome).Inc()
	if err == nil {
		req.Reach.Links.Confirmed(time.Now(), t.Address)
	}
	req.log.Info("request: sent through another host", zap.String("host", via), zap.String("target", t.Name), zap.Error(err))
	return x, err
}
