// Package orchestrator runs the processes of a site on loopback, injects failures
// under load and checks the results of the requests.
package orchestrator

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/standin/internal/loader"
)

// Pool is a pool of backend servers of a site.
type Pool struct {
	name        string
	servers     int
	slots       int
	connections int
	divided     bool
}

// Site is the size and workload of one user's installation.
type Site struct {
	name      string
	zones     []string
	pools     []Pool
	rulesFile string
	kinds     []loader.Kind
	rate      float64
	queueTime time.Duration
	// serviceTime is the mean duration of a request at a backend server. Zero
	// measures speed only: no journals, no check of fencing tokens.
	serviceTime time.Duration
}

// serviceTime is the Site.serviceTime of the luzon and nordeste sites.
const serviceTime = 20 * time.Millisecond

// Sites returns the names of all sites.
func Sites() []string { return []string{"luzon", "nordeste"} }

// FindSite returns a site by name.
func FindSite(name string) (Site, error) {
	switch name {
	case "luzon":
		return luzon(), nil
	case "nordeste":
		return nordeste(), nil
	default:
		return Site{}, errors.Newf("there is no site %q: use one of %v", name, Sites())
	}
}

func luzon() Site {
	return Site{
		name:  "luzon",
		zones: []string{"valenzuela", "calamba", "malolos"},
		pools: []Pool{
			{name: "permits", servers: 5, slots: 20, connections: 100, divided: true},
			{name: "lots", servers: 4, slots: 20, connections: 100},
		},
		rulesFile: "rules/luzon.rules",
		kinds: []loader.Kind{
			loader.NewKind("permit status", 45, "GET", "/permits/", "", "permit"),
			loader.NewKind("permit renewal", 10, "POST", "/permits/", "/renewals", "permit"),
			loader.NewKind("lot record", 35, "GET", "/lots/", "", "lot"),
			loader.NewKind("grade lookup", 10, "GET", "/grades/", "", "grade"),
		},
		rate:      2000,
		queueTime: 2 * time.Second, serviceTime: serviceTime,
	}
}

func nordeste() Site {
	return Site{
		name:  "nordeste",
		zones: []string{"recife", "fortaleza", "natal"},
		pools: []Pool{
			{name: "agenda", servers: 6, slots: 10, connections: 80, divided: true},
			{name: "pecas", servers: 4, slots: 10, connections: 80},
		},
		rulesFile: "rules/nordeste.rules",
		kinds: []loader.Kind{
			loader.NewKind("open slots", 45, "GET", "/slots/", "", "booking"),
			loader.NewKind("visit", 10, "POST", "/visits/", "/confirmations", "booking"),
			loader.NewKind("urgent part", 25, "GET", "/parts/urgent/", "", "part"),
			loader.NewKind("stock lookup", 20, "GET", "/parts/stock/", "", "part"),
		},
		rate:      1200,
		queueTime: 300 * time.Millisecond, serviceTime: serviceTime,
	}
}

// instance holds the addresses of a backend server and its local node.
type instance struct {
	id      string
	zone    string
	pool    Pool
	callers string
	peers   string
	status  string
	backend string
}

// Ports: each instance has portsPerInstance consecutive ports from firstPort on.
const (
	firstPort        = 21000
	platformPort     = 20999
	portsPerInstance = 4
	loopback         = "127.0.0.1"
	platformAddress  = loopback + ":20999"
)

func (s Site) instances() []instance {
	var out []instance
	for _, p := range s.pools {
		for i := range p.servers {
			base := firstPort + len(out)*portsPerInstance
			out = append(out, instance{
				id: fmt.Sprintf("%s-%d", p.name, i+1), zone: s.zones[i%len(s.zones)], pool: p,
				callers: loopbackAddress(base), peers: loopbackAddress(base + 1), status: loopbackAddress(base + 2), backend: loopbackAddress(base + 3), //nolint:mnd // ports in a row
			})
		}
	}
	return out
}

func loopbackAddress(port int) string { return fmt.Sprintf("%s:%d", loopback, port) }
