package executor

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/exchanger"
)

// errStatus marks responses whose status is none.
var errStatus = errors.New("malformed status of a response")

// maxStatusLine is how much of a line is kept to find the status in it.
const maxStatusLine = 64

// statusChecker finds the status of each head of a response. The client library reports the status 000
// as 200.
type statusChecker struct {
	line []byte
	// inHead is set after the status line of an interim response, and done after that of the last one.
	inHead, done bool
}

// check reads the next bytes of a response and returns an error if its status is none.
func (s *statusChecker) check(b []byte) error {
	for !s.done && len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part, b = b[:end], b[end+1:]
		} else {
			b = nil
		}
		s.line = append(s.line, part[:min(len(part), maxStatusLine-len(s.line))]...)
		if end < 0 {
			return nil
		}
		line := strings.TrimRight(string(s.line), "\r")
		s.line = s.line[:0]
		if line == "" || s.inHead {
			s.inHead = s.inHead && line != ""
			continue
		}
		if err := s.checkLine(line); err != nil {
			return err
		}
	}
	return nil
}

// checkLine reads a status line.
func (s *statusChecker) checkLine(line string) error {
	_, text, _ := strings.Cut(line, " ")
	text, _, _ = strings.Cut(strings.TrimLeft(text, " "), " ")
	n, err := strconv.Atoi(text)
	if err != nil {
		s.done = true // the client library rejects the line
		return nil
	}
	if !exchanger.IsStatus(n) {
		return errors.Wrapf(errStatus, "%03d", n)
	}
	s.inHead, s.done = n < 200, n >= 200
	return nil
}
