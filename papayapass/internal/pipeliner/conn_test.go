package pipeliner

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// scriptedConn returns the next text for each read, after calling before.
type scriptedConn struct {
	net.Conn

	texts  []string
	before func(read int)
	reads  int
}

func (s *scriptedConn) Read(b []byte) (int, error) {
	if s.reads == len(s.texts) {
		return 0, io.EOF
	}
	s.before(s.reads)
	n := copy(b, s.texts[s.reads])
	s.texts[s.reads] = s.texts[s.reads][n:]
	if s.texts[s.reads] == "" {
		s.reads++
	}
	return n, nil
}

// A byte that arrived just after a response overtook the requests that had been read ahead, and two
// requests became one.
func TestBytesKeepTheirOrderAfterAResponse(t *testing.T) {
	first, second, third := get("/1"), "DELETE /2 HTTP/1.1\r\nHost: a\r\n\r\n", get("/3")
	s := &scriptedConn{texts: []string{first + second, third}}
	c := newConn(s, NewPipeliner(http.NotFoundHandler(), func(*http.Request) bool { return false }, nil, zerolog.Nop()))
	s.before = func(read int) {
		if read == 1 {
			c.responded() // while the server watches the connection
		}
	}
	b := make([]byte, 4096)
	n, err := c.Read(b)
	c.serving(true)
	require.NoError(t, err)
	require.Equal(t, first, string(b[:n]))
	n, err = c.Read(b[:1])
	require.NoError(t, err)
	rest := string(b[:n])
	for len(rest) < len(second+third) {
		n, err := c.Read(b)
		require.NoError(t, err)
		rest += string(b[:n])
		c.responded()
	}
	require.Equal(t, second+third, rest)
}
