package orchestrator

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"papayapass.dev/standin/internal/ringrouter"
	"papayapass.dev/standin/internal/worker"
)

// routeParts is the number of fields of a route on the command line.
const routeParts = 4

// ParseRoutes parses routes of the form PREFIX|keyed or any|CONNECTIONS|ADDRESSES.
func ParseRoutes(texts []string) ([]ringrouter.Route, error) {
	var out []ringrouter.Route
	for _, text := range texts {
		parts := strings.Split(text, "|")
		if len(parts) != routeParts {
			return nil, errors.Newf("route %q: want PREFIX|keyed or any|CONNECTIONS|ADDRESS,ADDRESS", text)
		}
		connections, err := strconv.Atoi(parts[2])
		if err != nil {
			return nil, errors.Wrapf(err, "route %q", text)
		}
		out = append(out, ringrouter.Route{
			Prefix: parts[0], Keyed: parts[1] == "keyed", Connections: connections, Servers: strings.Split(parts[3], ","),
		})
	}
	return out, nil
}

// startNaive starts the naive router in place of a node.
func (c *Cluster) startNaive(m *member) error {
	args := []string{"naive", "--listen", m.callers}
	for _, k := range c.site.kinds {
		args = append(args, "--route", c.naiveRoute(k.Prefix(), k.KeyGroup()))
	}
	var err error
	m.node, err = startProcess(c.filePath("node-"+m.id+".log"), c.programs.Standin, args...)
	return err
}

// naiveRoute returns the route of a kind. Kinds of the divided pool have the key
// group of the site's first kind. The routers share the connections of a backend
// server equally.
func (c *Cluster) naiveRoute(prefix, group string) string {
	divided := group == c.site.kinds[0].KeyGroup()
	var addresses []string
	connections := 1
	for _, m := range c.instances {
		if m.pool.divided == divided {
			addresses = append(addresses, m.backendAddress())
			connections = max(1, m.pool.connections/len(c.instances))
		}
	}
	mode := "any"
	if divided {
		mode = "keyed"
	}
	return fmt.Sprintf("%s|%s|%d|%s", prefix, mode, connections, strings.Join(addresses, ","))
}

// waitNaive waits until all backend servers respond.
func (c *Cluster) waitNaive(ctx context.Context) error {
	return poll(ctx, func() bool {
		for _, m := range c.instances {
			code, _, err := fasthttp.GetTimeout(nil, "http://"+m.backendAddress()+worker.ReportPath, callTimeout)
			if err != nil || code != fasthttp.StatusOK {
				return false
			}
		}
		return true
	})
}
