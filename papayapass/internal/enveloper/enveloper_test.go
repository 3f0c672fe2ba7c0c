package enveloper

import (
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

type testHead struct {
	Name   string            `json:"name"`
	Fields map[string]string `json:"fields"`
}

const testDictionary = `{"name":"","fields":{"Request-Id":"","Accept":"*/*"}}`

func TestEnvelopes(t *testing.T) {
	e := NewEnveloper(testDictionary)
	head := testHead{Name: "call", Fields: map[string]string{"Request-Id": "9c41d07be2a35f68", "Accept": "*/*"}}
	var g sync.WaitGroup
	for range 8 { // goroutines share the compressors
		g.Go(func() {
			for _, body := range []string{"", "body", string(make([]byte, 100_000))} {
				packed, err := e.Pack(head, []byte(body))
				if err != nil {
					t.Error(err)
					return
				}
				var got testHead
				opened, err := e.Open(packed, &got)
				if err != nil || string(opened) != body || got.Name != head.Name || got.Fields["Request-Id"] != head.Fields["Request-Id"] {
					t.Errorf("got %+v %v", got, err)
				}
			}
		})
	}
	g.Wait()
	packed, err := e.Pack(head, nil)
	require.NoError(t, err)
	require.Less(t, len(packed), 60, "the dictionary must cover all but the id")
}

func TestMalformedEnvelopes(t *testing.T) {
	e := NewEnveloper(testDictionary)
	envelope, err := e.Pack(testHead{Name: "call"}, nil)
	require.NoError(t, err)
	for name, b := range map[string][]byte{
		"empty": nil, "short": {0, 0}, "length too large": {0xff, 0xff, 0xff, 0xff, 1}, "cut": envelope[:len(envelope)-3],
		"not compressed": {0, 0, 0, 2, 'h', 'i'},
	} {
		t.Run(name, func(t *testing.T) {
			var head testHead
			_, err := e.Open(b, &head)
			require.True(t, errors.Is(err, ErrMalformed), "%v", err)
		})
	}
}

func FuzzOpen(f *testing.F) {
	e := NewEnveloper(testDictionary)
	envelope, err := e.Pack(testHead{Name: "call"}, []byte("body"))
	require.NoError(f, err)
	f.Add(envelope)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var head testHead
		_, _ = e.Open(b, &head)
	})
}
