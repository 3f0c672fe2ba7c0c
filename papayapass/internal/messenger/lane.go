package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Sizes of buffers and headers, and the bytes that identify the lanes. The
// sizes of stream and packet headers only serve to estimate traffic.
const (
	sendQueueFrames         = 1024
	bufferBytes             = 64 << 10
	maxPooledBytes          = 64 << 10
	initialPooledBytes      = 1024
	streamHeaderBytes       = 12
	packetHeaderBytes       = 52
	controlLane        byte = 'c'
	dataLane           byte = 'd'
)

// ErrSendQueueFull means that a lane's send queue is full: nothing was sent.
var ErrSendQueueFull = errors.New("send queue is full")

// ErrLinkClosed means that a link has closed: nothing was sent.
var ErrLinkClosed = errors.New("link is closed")

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, initialPooledBytes)
	return &b
}}

// lane is one ordered stream of frames of a link. Senders put frames on a
// bounded queue that a single goroutine writes to the stream.
type lane struct {
	stream   net.Conn
	queue    chan *[]byte
	done     <-chan struct{}
	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64
}

func newLane(stream net.Conn, done <-chan struct{}) *lane {
	return &lane{stream: stream, queue: make(chan *[]byte, sendQueueFrames), done: done}
}

// send queues a message; it never blocks.
func (l *lane) send(m proto.Message) error {
	buf := buffers.Get().(*[]byte)
	frame, err := Encode((*buf)[:0], m)
	if err != nil {
		buffers.Put(buf)
		return err
	}
	*buf = frame
	select {
	case <-l.done:
		recycle(buf)
		return ErrLinkClosed
	default:
	}
	select {
	case l.queue <- buf:
		return nil
	default:
		recycle(buf)
		return ErrSendQueueFull
	}
}

func recycle(buf *[]byte) {
	if cap(*buf) <= maxPooledBytes {
		buffers.Put(buf)
	}
}

// write moves frames from the queue to the stream, in batches.
func (l *lane) write(ctx context.Context) error {
	w := bufio.NewWriterSize(l.stream, bufferBytes)
	for {
		select {
		case <-ctx.Done():
			return ErrLinkClosed
		case buf := <-l.queue:
			if err := l.writeBatch(w, buf); err != nil {
				return err
			}
		}
	}
}

func (l *lane) writeBatch(w *bufio.Writer, buf *[]byte) error {
	for {
		size := len(*buf)
		if _, err := w.Write(*buf); err != nil {
			return errors.Wrap(err, "write to peer")
		}
		recycle(buf)
		l.bytesOut.Add(uint64(size))
		select {
		case buf = <-l.queue:
			continue
		default:
		}
		l.bytesOut.Add(streamHeaderBytes + packetHeaderBytes)
		return errors.Wrap(w.Flush(), "write to peer")
	}
}

// read passes each message of the stream to receive, in order.
func (l *lane) read(receive func(proto.Message)) error {
	r := bufio.NewReaderSize(l.stream, bufferBytes)
	for {
		m, size, err := Decode(r)
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		l.bytesIn.Add(uint64(size))
		if r.Buffered() == 0 {
			l.bytesIn.Add(streamHeaderBytes + packetHeaderBytes)
		}
		if m != nil {
			receive(m)
		}
	}
}
