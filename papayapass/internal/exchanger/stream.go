package exchanger

import (
	"bufio"
	"io"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// copyBytes is the size of the buffer through which a stream is passed on.
	copyBytes = 16 << 10
	// flushTimeout limits sending the end of a stream to a server that has responded already.
	flushTimeout = 100 * time.Millisecond
)

// Stream is a body that is passed on while it arrives.
type Stream struct {
	// head are the first bytes. Until more is read, the body can be sent again.
	head       []byte
	headLength int64
	rest       io.Reader
	length     int64
	interrupt  func()
	// forget is called once the head is not needed any more.
	forget func()

	mu          sync.Mutex
	consumed    bool
	ended       bool
	interrupted bool
	err         error
}

// NewStream returns a body that begins with head and goes on with what rest returns. length is that of the
// whole body, or negative if it is not known; interrupt makes a read of rest return, and forget is called once
// the head is not needed any more.
func NewStream(head []byte, rest io.Reader, length int64, interrupt, forget func()) *Stream {
	return &Stream{head: head, headLength: int64(len(head)), rest: rest, length: length, interrupt: interrupt, forget: forget}
}

// Consumed reports whether the body cannot be sent again.
func (s *Stream) Consumed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consumed
}

// Interrupted reports whether reading has ended before the end of the body.
func (s *Stream) Interrupted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interrupted || s.err != nil
}

// Err returns the error of reading the body, or nil.
func (s *Stream) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// stop makes reads return.
func (s *Stream) stop() {
	s.mu.Lock()
	s.interrupted = true
	s.mu.Unlock()
	s.interrupt()
}

// Read reads more of the rest.
func (s *Stream) Read(b []byte) (int, error) {
	s.mu.Lock()
	if !s.consumed {
		s.consumed, s.head = true, nil
		s.forget()
	}
	stopped := s.interrupted
	s.mu.Unlock()
	if stopped {
		return 0, io.ErrClosedPipe
	}
	n, err := s.rest.Read(b)
	if err == nil {
		return n, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		s.ended = true
	case s.err == nil && !s.interrupted:
		s.err = err
	}
	return n, err
}

// hasEnded reports whether the whole body was read.
func (s *Stream) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// writeTo writes the body after a prefix, framed for HTTP.
func (s *Stream) writeTo(w *bufio.Writer, prefix []byte) error {
	if s.length < 0 {
		chunks := httputil.NewChunkedWriter(w)
		if err := s.copyTo(chunks, prefix); err != nil {
			return err
		}
		if err := chunks.Close(); err != nil {
			return err
		}
		_, err := w.WriteString("\r\n")
		return err
	}
	return s.copyTo(w, prefix)
}

func (s *Stream) copyTo(w io.Writer, prefix []byte) error {
	for _, b := range [][]byte{prefix, s.head} {
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	// A plain writer keeps the copy from growing its buffer.
	n, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{s}, make([]byte, copyBytes))
	if err != nil {
		return err
	}
	if s.length >= 0 && n != s.length-s.headLength {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// frame returns the header line that frames the body after a prefix.
func (s *Stream) frame(prefix int) string {
	if s.length < 0 {
		return "Transfer-Encoding: chunked\r\n"
	}
	return "Content-Length: " + strconv.FormatInt(s.length+int64(prefix), 10) + "\r\n"
}

// streamTrip sends a request whose body is a stream, and receives the response, which may come before the body
// has been sent. The rest of the body is not read then, and the connection cannot be kept.
func (e *Exchanger) streamTrip(c *conn, req Request) (*Response, bool, error) {
	done := make(chan struct{})
	isWhole := false
	go func() {
		defer close(done)
		err := writeRequest(c, req)
		if isWhole = err == nil; !isWhole && req.Stream.Interrupted() {
			_ = c.Close() // a part of the body must not look whole
		}
	}()
	response, keep, err := e.receive(c, req)
	if req.Stream.hasEnded() { // all that is left is in the buffer
		_ = c.SetWriteDeadline(time.Now().Add(flushTimeout)) // a broken connection fails at its next use
		<-done
		_ = c.SetWriteDeadline(time.Time{})
	} else {
		req.Stream.stop()
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // a broken connection fails at its next use
		<-done
	}
	return response, keep && isWhole, err
}
