package verdict_test

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"jacinthstage/stage/verdict"
)

func TestOf(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want verdict.Verdict
	}{
		{"other error", errors.New("reset"), verdict.MayHaveRun},
		{"refusal", verdict.Refuse(verdict.Busy, "full"), verdict.NotRun},
		{"wrapped refusal", errors.Wrap(verdict.Refuse(verdict.Busy, "full"), "queue"), verdict.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, verdict.Of(c.err))
		})
	}
}

func TestTextRoundTrip(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		text, err := v.MarshalText()
		require.NoError(t, err)
		var got verdict.Verdict
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, v, got)
	}
	var v verdict.Verdict
	require.Error(t, v.UnmarshalText([]byte("perhaps")))
}
