package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// host is the host name of all routes.
const host = "ficu95.example"

// sent is a request of a client.
type sent struct {
	id     string
	node   string
	unsafe bool
	at     time.Time
	// status is 0 without a whole answer.
	status int
	body   string
}

// clients send requests to the nodes of their machines, each over a new connection.
type clients struct {
	rec *record
	wg  sync.WaitGroup

	mu   sync.Mutex
	list []*sent
}

// run sends perS requests a second to a node until stop is closed; every third one is unsafe.
func (c *clients) run(n *node, perS float64, deadline time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if n.in.Load() {
			c.wg.Add(1)
			go c.send(n, i%3 == 2, deadline)
		}
	}
}

func (c *clients) send(n *node, unsafe bool, deadline time.Duration) {
	defer c.wg.Done()
	s := &sent{id: randomHex(8), node: n.id, unsafe: unsafe, at: time.Now()}
	c.mu.Lock()
	c.list = append(c.list, s)
	c.mu.Unlock()
	method, path, body := http.MethodGet, "/lohu930/2f", ""
	if unsafe {
		method, path, body = http.MethodPost, "/pufi791/2f", strings.Repeat("x", 300)
	}
	c.rec.addAt(s.at, "client sends %s %s %s to %s", s.id, method, path, n.id)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Papayapass-Attempt-Id", s.id)
	req.Header.Set("X-Papayapass-Shard-Key", fmt.Sprint(rand.IntN(1<<16)))
	req.Header.Set("X-Papayapass-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.rec.add("client gets no answer to %s", s.id)
		return
	}
	defer resp.Body.Close() // read to its end
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.rec.add("client gets a broken answer to %s", s.id)
		return
	}
	c.mu.Lock()
	s.status, s.body = resp.StatusCode, string(text)
	c.mu.Unlock()
	c.rec.add("client gets %d for %s, signature %q", resp.StatusCode, s.id, resp.Header.Get("X-Papayapass-Response-Signature"))
}

// byID returns the requests by id.
func (c *clients) byID() map[string]sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]sent, len(c.list))
	for _, s := range c.list {
		out[s.id] = *s
	}
	return out
}
