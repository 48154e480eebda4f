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

func TestFail(t *testing.T) { synctest.Test(t, testFail) }

func testFail(t *testing.T) {
	soon := time.Now().Add(90 * time.Second)
	for _, c := range []struct {
		name   string
		err    error
		status int
		again  string
		body   string
	}{
		{"refusal", verdict.Refuse(verdict.Forbidden, "no rule"), 403, "", `{"error":{"code":"forbidden","message":"no rule","verdict":"notrun"}}`},
		{"come back", verdict.Refuse(verdict.Busy, "full"), 503, "1", `{"error":{"code":"busy","message":"full","verdict":"notrun"}}`},
		{"come back later", &verdict.Error{Code: verdict.RateLimited, Message: "quota", RetryAt: soon}, 429, "90", `{"error":{"code":"limited","message":"quota","verdict":"mayhaverun"}}`},
		{"in progress", &verdict.Error{Code: verdict.Conflict, Message: "m", RetryAt: soon}, 409, "90", `{"error":{"code":"conflict","message":"m","verdict":"mayhaverun"}}`},
		{"no code known", &verdict.Error{Code: "odd", Message: "m", Verdict: verdict.Ran}, 502, "", `{"error":{"code":"odd","message":"m","verdict":"ran"}}`},
		{"wrapped", errors.Wrap(verdict.Refuse(verdict.NotFound, "m"), "w"), 404, "", `{"error":{"code":"unknown","message":"m","verdict":"notrun"}}`},
		{"no verdict", errors.New("boom"), 502, "1", `{"error":{"code":"broken","message":"the request failed","verdict":"mayhaverun"}}`},
	} {
		w := httptest.NewRecorder()
		apierror.Write(w, c.err)
		require.Equal(t, c.status, w.Code, c.name)
		require.Equal(t, c.again, w.Header().Get("Retry-After"), c.name)
		require.JSONEq(t, c.body, w.Body.String(), c.name)
	}
}
