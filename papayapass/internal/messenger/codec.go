// Package messenger sends protobuf messages between nodes over yamux.
package messenger

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/wirepb"
)

// A frame is the length of kind and payload (four bytes, big endian), the kind
// (one byte) and the payload, a protobuf message.
const (
	lengthBytes = 4
	headerBytes = lengthBytes + 1
	// MaxFrameBytes bounds kind and payload of a frame.
	MaxFrameBytes = 8 << 20
)

type kind byte

const (
	kindHello kind = iota + 1
	kindRequest
	kindAnswer
	kindCancel
	kindResolve
	kindPing
	kindPong
	kindHeartbeat
	kindHeartbeatReply
	kindClaim
	kindClaimReply
)

// ErrMalformedFrame means that a peer sent bytes that are not a valid frame.
var ErrMalformedFrame = errors.New("malformed frame")

func kindOf(m proto.Message) kind {
	switch m.(type) {
	case *wirepb.Hello:
		return kindHello
	case *wirepb.Request:
		return kindRequest
	case *wirepb.Answer:
		return kindAnswer
	case *wirepb.Cancel:
		return kindCancel
	case *wirepb.Resolve:
		return kindResolve
	case *wirepb.Ping:
		return kindPing
	case *wirepb.Pong:
		return kindPong
	case *wirepb.Beat:
		return kindHeartbeat
	case *wirepb.BeatReply:
		return kindHeartbeatReply
	case *wirepb.Claim:
		return kindClaim
	case *wirepb.ClaimReply:
		return kindClaimReply
	default:
		return 0
	}
}

// newMessage returns an empty message of a kind, or nil for a kind that this
// version does not know; such frames are skipped.
func newMessage(k kind) proto.Message {
	switch k {
	case kindHello:
		return &wirepb.Hello{}
	case kindRequest:
		return &wirepb.Request{}
	case kindAnswer:
		return &wirepb.Answer{}
	case kindCancel:
		return &wirepb.Cancel{}
	case kindResolve:
		return &wirepb.Resolve{}
	case kindPing:
		return &wirepb.Ping{}
	case kindPong:
		return &wirepb.Pong{}
	case kindHeartbeat:
		return &wirepb.Beat{}
	case kindHeartbeatReply:
		return &wirepb.BeatReply{}
	case kindClaim:
		return &wirepb.Claim{}
	case kindClaimReply:
		return &wirepb.ClaimReply{}
	default:
		return nil
	}
}

// Encode appends the frame of a message to a buffer.
func Encode(buf []byte, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0, byte(kindOf(m)))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	length := len(buf) - start - lengthBytes
	if length > MaxFrameBytes {
		return nil, errors.Newf("message of %d bytes exceeds the limit of %d", length, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(length))
	return buf, nil
}

// Decode reads the next frame and returns its message (nil for an unknown kind)
// and the length of the frame in bytes.
func Decode(r *bufio.Reader) (proto.Message, int, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 1 || length > MaxFrameBytes {
		return nil, 0, errors.Wrapf(ErrMalformedFrame, "length %d", length)
	}
	payload := make([]byte, length-1)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, 0, err
	}
	size := lengthBytes + int(length)
	m := newMessage(kind(head[lengthBytes]))
	if m == nil {
		return nil, size, nil
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return nil, 0, errors.Mark(errors.Wrap(err, "decode message"), ErrMalformedFrame)
	}
	return m, size, nil
}
