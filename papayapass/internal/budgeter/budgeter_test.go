package budgeter

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestReadAll(t *testing.T) {
	body := bytes.Repeat([]byte("papaya"), 5000)
	cases := map[string]struct {
		r               io.Reader
		limit, expected int64
		want            error
	}{
		"announced":             {bytes.NewReader(body), 1 << 20, int64(len(body)), nil},
		"not announced":         {bytes.NewReader(body), 1 << 20, -1, nil},
		"in small pieces":       {iotest.OneByteReader(bytes.NewReader(body)), 1 << 20, -1, nil},
		"as large as the limit": {bytes.NewReader(body), int64(len(body)), -1, nil},
		"too large":             {bytes.NewReader(body), int64(len(body)) - 1, -1, ErrTooLarge},
		"announced too large":   {bytes.NewReader(nil), 10, 11, ErrTooLarge},
		"truncated":             {io.MultiReader(bytes.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)), 1 << 20, -1, io.ErrUnexpectedEOF},
		"no memory left":        {bytes.NewReader(make([]byte, 1<<20)), 1 << 20, -1, ErrExhausted},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(1 << 19)
			l := b.Lease()
			got, err := l.ReadAll(tt.r, tt.limit, tt.expected)
			if tt.want != nil {
				require.ErrorIs(t, err, tt.want)
			} else {
				require.NoError(t, err)
				require.Equal(t, body, got)
				require.GreaterOrEqual(t, b.Used(), int64(len(body)))
			}
			l.Close()
			require.Zero(t, b.Used())
		})
	}
}

func TestEmptyBodyTakesNothing(t *testing.T) {
	b := NewBudget(0)
	got, err := b.Lease().ReadAll(bytes.NewReader(nil), 10, 0)
	require.NoError(t, err)
	require.Empty(t, got)
}

// Clients that take all of their part leave the rest of the memory to others.
func TestPartLeavesMemoryToOthers(t *testing.T) {
	whole := NewBudget(100)
	part := whole.Part(70)
	customers, others := part.Lease(), whole.Lease()
	require.NoError(t, customers.Take(70))
	require.ErrorIs(t, customers.Take(1), ErrExhausted)
	require.Equal(t, int64(1), part.TakeRefusals())
	require.NoError(t, others.Take(30))
	customers.Close()
	require.Equal(t, int64(30), whole.Used())
	require.NoError(t, others.Take(60))
	require.ErrorIs(t, customers.Take(20), ErrExhausted, "the whole is exhausted")
	require.Zero(t, part.Used())
	require.Zero(t, customers.Taken())
}
