package apierror_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthstage/jacinthd/internal/apierror"
	"jacinthstage/stage/verdict"
)

func TestWrite(t *testing.T) { synctest.Test(t, testWrite) }

func testWrite(t *testing.T) {
	retryAt := time.Now().Add(90 * time.Second)
	for _, c := range []struct {
		name   string
		err    error
		status int
		retry  string
		body   string
	}{
		{"refusal", verdict.Refuse(verdict.Forbidden, "no rule"), 403, "", `{"error":{"code":"forbidden","message":"no rule","verdict":"notrun"}}`},
		{"retryable", verdict.Refuse(verdict.Busy, "full"), 503, "1", `{"error":{"code":"busy","message":"full","verdict":"notrun"}}`},
		{"retryable with a delay", &verdict.Error{Code: verdict.RateLimited, Message: "quota", RetryAt: retryAt}, 429, "90", `{"error":{"code":"limited","message":"quota","verdict":"mayhaverun"}}`},
		{"in progress", &verdict.Error{Code: verdict.Conflict, Message: "m", RetryAt: retryAt}, 409, "90", `{"error":{"code":"conflict","message":"m","verdict":"mayhaverun"}}`},
		{"unknown code", &verdict.Error{Code: "odd", Message: "m", Verdict: verdict.Ran}, 502, "", `{"error":{"code":"odd","message":"m","verdict":"ran"}}`},
		{"wrapped", errors.Wrap(verdict.Refuse(verdict.NotFound, "m"), "w"), 404, "", `{"error":{"code":"unknown","message":"m","verdict":"notrun"}}`},
		{"no verdict", errors.New("boom"), 502, "1", `{"error":{"code":"broken","message":"the request failed","verdict":"mayhaverun"}}`},
	} {
		w := httptest.NewRecorder()
		apierror.Write(w, c.err)
		require.Equal(t, c.status, w.Code, c.name)
		require.Equal(t, c.retry, w.Header().Get("Retry-After"), c.name)
		require.JSONEq(t, c.body, w.Body.String(), c.name)
	}
}
