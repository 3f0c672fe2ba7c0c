package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// serviceName is the service of all upstreams, a shared pool.
const serviceName = "wuno96b"

// configuration is the operator's configuration.
const configuration = `{"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"listeners":[{"host":"` + host + `","rules":[
{"name":"r-i9n73hh","routeKind":"unsafe","targetLatency":"800ms","priority":1,"match":{"pathPrefix":"/pufi791/"},"action":{"service":"` + serviceName + `","timeout":"1500ms","maxAttempts":2}},
{"name":"r-x73d3zj","routeKind":"safe","targetLatency":"600ms","priority":2,"match":{"pathPrefix":"/lohu930/"},"action":{"service":"` + serviceName + `","timeout":"1200ms","maxAttempts":2}}]}],
"clusters":[{"name":"` + serviceName + `","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":15.0KEYS}]}`

// deployment is a small deployment: a store, and some machines with a node and an upstream each.
type deployment struct {
	root, dir string
	rec       *record
	store     *store
	nodes     []*node
	upstreams []*upstream
	clients   *clients
	stop      chan struct{}
	// links are before the upstreams of a service that is divided by key, checker checks their fences.
	links   []*link
	checker *fenceChecker
}

// newDeployment starts a deployment with a machine in each of some zones, and waits until all upstreams
// serve requests.
func newDeployment(root, recordDir string, zones []string, work time.Duration, perS float64) (*deployment, error) {
	return newDeploymentOf(root, recordDir, zones, work, perS, false)
}

// newDeploymentOf is newDeployment; a divided service has a link before each upstream.
func newDeploymentOf(root, recordDir string, zones []string, work time.Duration, perS float64, divided bool) (*deployment, error) {
	rec, err := newRecord(recordDir)
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, rec: rec, stop: make(chan struct{}), clients: &clients{rec: rec}}
	if d.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if d.store, err = newStore(); err != nil {
		return nil, err
	}
	keys := ""
	if divided {
		keys, d.checker = `,"sharded":true,"warm":"5s","grants":"call"`, &fenceChecker{rec: rec}
	}
	d.store.put("config", "main", strings.Replace(configuration, "KEYS", keys, 1))
	ips, p, err := chooseAddresses(len(zones))
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		n, err := newNode(root, d.dir, "sidecar-"+zone+"-1", zone, serviceName, ips[i], p, d.store.address(), rec)
		if err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, n)
		how := life{listens: n.appAddress, checker: d.checker}
		if divided {
			how.listens = net.JoinHostPort(ips[i], strconv.Itoa(p.app+10))
			l, err := newLink(n.appAddress, how.listens)
			if err != nil {
				return nil, err
			}
			d.links = append(d.links, l)
		}
		u, err := startLife(n, serviceName, work, rec, how)
		if err != nil {
			return nil, err
		}
		d.upstreams = append(d.upstreams, u)
		if err := n.start(root); err != nil {
			return nil, err
		}
		go n.watchReady(d.stop)
	}
	time.Sleep(4 * time.Second)
	for _, n := range d.nodes {
		go d.clients.run(n, perS, 3*time.Second, d.stop)
	}
	return d, d.awaitService(15 * time.Second)
}

// awaitService waits until each upstream has served some requests.
func (d *deployment) awaitService(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		served := 0
		for _, u := range d.upstreams {
			if len(u.list()) >= 20 {
				served++
			}
		}
		if served == len(d.upstreams) {
			d.rec.say("all %d upstreams serve requests", served)
			return nil
		}
	}
	return fmt.Errorf("not all upstreams serve requests after %v", limit)
}

// close ends the clients and all processes.
func (d *deployment) close() {
	select {
	case <-d.stop:
	default:
		close(d.stop)
	}
	d.clients.wg.Wait()
	for _, n := range d.nodes {
		n.kill()
		if n.exited != nil {
			<-n.exited
		}
	}
	for _, u := range d.upstreams {
		u.end("the test is over")
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir) // a temporary folder
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// arrivals returns what reached any upstream, in no particular order.
func (d *deployment) arrivals() []*arrival {
	var out []*arrival
	for _, u := range d.upstreams {
		out = append(out, u.list()...)
	}
	return out
}
