package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the site file pptia-mesh.
const (
	contactBound = 3 * time.Second
	drainTimeout = 2 * time.Second
	warmupPerS   = 15.0
	coldOver     = 1.5
	coldSlack    = 5.0
)

// ports are the ports that all machines use.
type ports struct{ outbound, ready, control, app, peers, metrics int }

// node is a process of the system beside an upstream, on a loopback address of its own.
type node struct {
	id, zone, service, ip                string
	outbound, ready, control, appAddress string
	settings, log                        string
	cmd                                  *exec.Cmd
	exited                               chan struct{}
	startedAt                            time.Time
	in                                   atomic.Bool // the platform lets clients send to it
	rec                                  *record
}

// chooseAddresses returns loopback addresses and ports on which nothing listens at any of them.
func chooseAddresses(n int) ([]string, ports, error) {
	pid := os.Getpid()
	for try := range 200 {
		var ips []string
		for i := range n {
			ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 10+(pid+try)%200, (pid/200)%250, 10+i))
		}
		base := 12000 + (pid*37+try*101)%15000
		p := ports{base, base + 1, base + 2, base + 3, base + 4, 9464}
		if areFree(ips, p) {
			return ips, p, nil
		}
	}
	return nil, ports{}, fmt.Errorf("no free loopback addresses")
}

func areFree(ips []string, p ports) bool {
	for _, ip := range ips {
		for _, port := range []int{p.outbound, p.ready, p.control, p.app, p.peers, p.metrics} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close() // it was only a test
		}
	}
	return true
}

// newNode writes the settings of a node: the template deploy/node.toml, filled in as for a small site.
func newNode(root, dir, id, zone, service, ip string, p ports, storeAddress string, rec *record) (*node, error) {
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	n := &node{
		id: id, zone: zone, service: service, ip: ip, outbound: at(p.outbound), ready: at(p.ready), control: at(p.control), appAddress: at(p.app),
		settings: filepath.Join(dir, id+".conf"), log: filepath.Join(dir, id+".log"), rec: rec,
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "node.toml"))
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"nodeId": id, "zone": zone, "ip": ip, "service": service, "appAddr": n.appAddress, "limits.memoryMb": "284", "limits.maxFds": "4100",
		"limits.cpuShare": "0.32", "grants": "call", "listenAddrs.outbound": n.outbound, "listenAddrs.ready": n.ready, "listenAddrs.control": n.control,
		"internalPorts.0": strconv.Itoa(p.peers), "platform.address": storeAddress, "heartbeat": "870ms", "bounds.grace": "6s",
		"bounds.evacuate": "5000ms", "bounds.configApply": "2000ms", "bounds.holdMax": "10000ms", "bounds.retryBudgetRatio": "0.2",
		"bounds.budgetWindow": "10s", "bounds.retryBudgetSlack": "58",
	}
	return n, os.WriteFile(n.settings, []byte(fillTemplate(string(template), values)), 0o600)
}

// fillTemplate fills in a template as the platform does, as far as deploy/node.toml needs it: sections
// on one line, and placeholders.
func fillTemplate(text string, values map[string]string) string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(line, "{{#"); ok {
			name, body, _ := strings.Cut(rest, "}}")
			if values[name] == "" {
				continue
			}
			line, _, _ = strings.Cut(body, "{{/"+name+"}}")
		}
		for name, value := range values {
			line = strings.ReplaceAll(line, "{{"+name+"}}", value)
		}
		out = append(out, line)
	}
	return strings.Join(out, "\n")
}

// start starts the process with the command of the deploy file.
func (n *node) start(root string) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has a descriptor of its own
	n.cmd = exec.Command(filepath.Join(root, "target", "papayapass"), "node", "--settings", n.settings)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = root, log, log
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYAPASS_NODE_FILE=" + n.settings}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.startedAt = time.Now()
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() { _ = cmd.Wait(); close(exited) }()
	n.rec.add("node %s starts", n.id)
	return nil
}

// kill sends SIGKILL.
func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill() // it may have exited
	}
}

// signal sends a signal.
func (n *node) signal(s syscall.Signal) {
	n.rec.add("node %s gets %v", n.id, s)
	_ = n.cmd.Process.Signal(s) // it may have exited
}

// watchReady asks the node once a second whether it is ready, as the platform does.
func (n *node) watchReady(stop <-chan struct{}) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		resp, err := client.Get("http://" + n.ready + "/papayapass/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close() // it has no body
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		if in := ok || (misses < 2 && n.in.Load()); n.in.Swap(in) != in {
			n.rec.add("node %s: clients send to it: %v", n.id, in)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
