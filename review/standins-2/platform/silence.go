package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy in front of an upstream. Its open connections can go silent: nothing passes any more and
// nobody closes them, while new ones work.
type link struct {
	address string // where the node connects to
	target  string

	mu       sync.Mutex
	listener net.Listener
	pairs    map[*pair]struct{}
}

// pair is a connection of the node and the one to the upstream.
type pair struct {
	near, far net.Conn
	silent    bool
}

func newLink(address, target string) (*link, error) {
	l := &link{address: address, target: target, pairs: make(map[*pair]struct{})}
	return l, l.open()
}

// open accepts connections.
func (l *link) open() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(near)
		}
	}()
	return nil
}

func (l *link) pass(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0) // the upstream has no listener
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	go l.copy(p, near, far)
	l.copy(p, far, near)
}

// copy passes bytes on until an end closes; a silent pair stays open.
func (l *link) copy(p *pair, from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		silent := p.silent
		l.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			_ = p.near.Close()
			_ = p.far.Close()
			l.mu.Lock()
			delete(l.pairs, p)
			l.mu.Unlock()
			return
		}
	}
}

// silence makes the open connections silent and returns how many they are.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent = true
	}
	return len(l.pairs)
}

// refuse accepts no more connections until open is called.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
}
