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
		{"a foreign error promises nothing", errors.New("reset"), verdict.MayHaveRun},
		{"a refusal did not run", verdict.Refuse(verdict.Busy, "full"), verdict.NotRun},
		{"wrapping keeps the verdict", errors.Wrap(verdict.Refuse(verdict.Busy, "full"), "queue"), verdict.NotRun},
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
		var back verdict.Verdict
		require.NoError(t, back.UnmarshalText(text))
		require.Equal(t, v, back)
	}
	var v verdict.Verdict
	require.Error(t, v.UnmarshalText([]byte("perhaps")))
}
