package announcer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func valid() Announcement {
	return Announcement{Pool: "permits", Address: "127.0.0.1:1", Zone: "z", Slots: 20, Connections: 100}
}

func TestValidate(t *testing.T) {
	tests := map[string]struct {
		change func(a *Announcement)
		ok     bool
	}{
		"valid":          {change: func(*Announcement) {}, ok: true},
		"no pool":        {change: func(a *Announcement) { a.Pool = "" }},
		"no address":     {change: func(a *Announcement) { a.Address = "" }},
		"no slots":       {change: func(a *Announcement) { a.Slots = 0 }},
		"too many slots": {change: func(a *Announcement) { a.Slots = 1 << 30 }},
		"no connections": {change: func(a *Announcement) { a.Connections = 0 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := valid()
			tt.change(&a)
			require.Equal(t, tt.ok, a.Validate() == nil)
		})
	}
}

func FuzzDecode(f *testing.F) {
	body, err := valid().Encode()
	require.NoError(f, err)
	f.Add(body)
	f.Add([]byte(`{"pool":"x","slots":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := Decode(body)
		if err != nil {
			return
		}
		again, err := a.Encode()
		require.NoError(t, err)
		b, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, a, b)
	})
}
