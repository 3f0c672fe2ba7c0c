package messenger

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/wirepb"
)

func sampleMessages() []proto.Message {
	return []proto.Message{
		&wirepb.Hello{Format: 1, Cell: "luzon", Node: "a"},
		&wirepb.Request{Call: 7, Pool: "permits", Body: []byte("body"), Headers: []*wirepb.Header{{Name: []byte("a"), Value: []byte("b")}}},
		&wirepb.Answer{Call: 7, Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Status: 200},
		&wirepb.Cancel{Call: 7},
		&wirepb.Resolve{Call: 7},
		&wirepb.Ping{Stamp: 1},
		&wirepb.Pong{Stamp: 1},
		&wirepb.Beat{Node: "a", Sequence: 3},
		&wirepb.BeatReply{Epoch: 3, Table: &wirepb.Table{Cell: "luzon"}},
		&wirepb.Claim{Epoch: 3},
		&wirepb.ClaimReply{Epoch: 3, Joined: true},
	}
}

func TestCodecRoundTrip(t *testing.T) {
	var stream []byte
	for _, m := range sampleMessages() {
		var err error
		stream, err = Encode(stream, m)
		require.NoError(t, err)
	}
	r := bufio.NewReader(bytes.NewReader(stream))
	for _, want := range sampleMessages() {
		got, _, err := Decode(r)
		require.NoError(t, err)
		require.True(t, proto.Equal(want, got))
	}
}

func TestDecodeSkipsUnknownKinds(t *testing.T) {
	r := bufio.NewReader(bytes.NewReader([]byte{0, 0, 0, 3, 250, 1, 2}))
	m, size, err := Decode(r)
	require.NoError(t, err)
	require.Nil(t, m, "messages of newer versions are skipped")
	require.Equal(t, 7, size)
}

func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		frame, err := Encode(nil, m)
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			m, size, err := Decode(r)
			if err != nil {
				return
			}
			require.LessOrEqual(t, size, len(data))
			if m != nil {
				_, err := Encode(nil, m)
				require.NoError(t, err)
			}
		}
	})
}
