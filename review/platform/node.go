package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one machine: a process of papayapass with the upstream beside it.
type node struct {
	id, ip    string
	customers string
	control   string
	settings  string
	template  string
	log       string
	up        *upstream
	rec       *recorder

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var loopbacks int

// nextLoopback returns a loopback address of its own for a machine.
func nextLoopback() string {
	loopbacks++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, 1+loopbacks)
}

// usedPorts are the ports that freePort has returned, by address.
var usedPorts = make(map[string]bool)

// freePort returns a port on which nothing listens, another one at each call.
func freePort(ip string) string {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		must(err)
		address := l.Addr().String()
		must(l.Close())
		if usedPorts[address] {
			continue
		}
		usedPorts[address] = true
		_, port, err := net.SplitHostPort(address)
		must(err)
		return port
	}
}

func newNode(dir, id, zone, service, storeAddress string, rec *recorder) *node {
	ip := nextLoopback()
	n := &node{id: id, ip: ip, rec: rec, settings: filepath.Join(dir, id+".toml"), log: filepath.Join(dir, id+".log")}
	n.customers = net.JoinHostPort(ip, freePort(ip))
	n.control = net.JoinHostPort(ip, freePort(ip))
	n.up = newUpstream("u-"+id, service, ip, rec)
	n.up.control = n.control
	n.template = fmt.Sprintf(`[node]
id = %q
zone = %q
address = %q
service = "SERVICE"
server = %q
memoryMB = 284
cores = "0.32"
grants = "call"
[listen]
customers = %q
ready = %q
heartbeats = %q
peers = %s
metrics = %s
[store]
address = %q
[bounds]
heartbeat = "870ms"
grace = "6s"
zoneOut = "5000ms"
apply = "2000ms"
holdMax = "10000ms"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = 58
`, id, zone, ip, n.up.address, n.customers, net.JoinHostPort(ip, freePort(ip)), n.control, freePort(ip), freePort(ip), storeAddress)
	n.setService(service)
	return n
}

// setService writes the settings file as the platform does, whole at once.
func (n *node) setService(service string) {
	must(os.WriteFile(n.settings+".new", []byte(strings.Replace(n.template, "SERVICE", service, 1)), 0o600))
	must(os.Rename(n.settings+".new", n.settings))
	n.rec.printf("settings of %s: service %s", n.id, service)
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.cmd = exec.Command("target/papayapass", "node", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.cmd.Start())
	_ = out.Close()
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() { _ = cmd.Wait(); close(exited) }()
	n.rec.printf("node %s starts, process %d", n.id, cmd.Process.Pid)
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rec.printf("node %s gets %s", n.id, s)
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// customer is a client on a machine.
type customer struct {
	node   *node
	client *http.Client
}

func newCustomer(n *node) *customer {
	return &customer{node: n, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}}}
}

// do sends one request and returns the status, zero without a whole answer.
func (c *customer) do(method, path, id string, key int, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.customers+path, nil)
	must(err)
	req.Host = "h.example"
	req.Header.Set("X-Papayapass-Attempt-Id", id)
	req.Header.Set("X-Papayapass-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		req.Header.Set("X-Papayapass-Shard-Key", strconv.Itoa(key))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if resp.StatusCode == http.StatusOK && string(body) != id {
		return -1
	}
	return resp.StatusCode
}
