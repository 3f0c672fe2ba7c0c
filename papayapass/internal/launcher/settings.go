// Package launcher assembles a node of a deployment, runs it and stops it.
package launcher

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/participant"
	"papayapass.dev/shared/descriptor"
)

// Settings are the settings of a node and its local backend server.
type Settings struct {
	Node struct {
		ID      string `toml:"id"`
		Zone    string `toml:"zone"`
		Address string `toml:"address"` // IP address of the instance
		Service string `toml:"service"`
		Server  string `toml:"server"` // IP address and port of the backend server
		// Grants is how the backend server gets keys until there is a configuration.
		Grants descriptor.GrantMethod `toml:"grants"`
		// MemoryMB is the memory of the process, in megabytes.
		MemoryMB int `toml:"memoryMB"`
		// Descriptors is the number of descriptors of the process; zero takes the limit that
		// the process was started with.
		Descriptors int `toml:"descriptors"`
		// Cores is the processor share of the instance in cores; zero if unknown. The
		// coordinator's role moves to a larger instance.
		Cores number `toml:"cores"`
	} `toml:"node"`
	Listen struct {
		Customers  string `toml:"customers"`
		Ready      string `toml:"ready"`
		Heartbeats string `toml:"heartbeats"`
		Peers      int    `toml:"peers"`
		Metrics    int    `toml:"metrics"`
	} `toml:"listen"`
	Store struct {
		Address string `toml:"address"`
	} `toml:"store"`
	// Trace exports a span for each hop to an endpoint for OTLP over HTTP; an empty
	// endpoint disables it.
	Trace struct {
		Endpoint string  `toml:"endpoint"`
		Share    float64 `toml:"share"`
	} `toml:"trace"`
	Bounds struct {
		Heartbeat   duration `toml:"heartbeat"`
		Grace       duration `toml:"grace"`
		ZoneOut     duration `toml:"zoneOut"`
		Apply       duration `toml:"apply"`
		Revocation  duration `toml:"revocation"`
		HoldMax     duration `toml:"holdMax"`
		RetryRatio  float64  `toml:"retryRatio"`
		RetryWindow duration `toml:"retryWindow"`
		RetrySlack  float64  `toml:"retrySlack"`
		QuotaWindow duration `toml:"quotaWindow"`
		QuotaOver   float64  `toml:"quotaOver"`
		QuotaSlack  float64  `toml:"quotaSlack"`
	} `toml:"bounds"`
}

// defaults returns the settings with default bounds, which suit a small site.
func defaults() *Settings {
	s := &Settings{}
	s.Node.Grants, s.Node.MemoryMB = descriptor.GrantByCall, 256
	b := &s.Bounds
	b.Heartbeat, b.Grace, b.ZoneOut = duration(time.Second), duration(6*time.Second), duration(5*time.Second)
	b.Apply, b.HoldMax, b.RetryWindow = duration(2*time.Second), duration(10*time.Second), duration(10*time.Second)
	return s
}

// duration is a time.Duration that settings write with a unit, such as "1500ms".
type duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = duration(v)
	return nil
}

// number is a fraction that settings write as text, such as "0.16".
type number float64

// UnmarshalText parses a number.
func (n *number) UnmarshalText(b []byte) error {
	v, err := strconv.ParseFloat(string(b), 64)
	if err != nil {
		return err
	}
	*n = number(v)
	return nil
}

// ReadSettings reads and validates a settings file.
func ReadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	s := defaults()
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, errors.Wrapf(err, "settings in %s", path)
	}
	return s, s.validate()
}

func (s *Settings) validate() error {
	for name, address := range map[string]string{
		"node.server": s.Node.Server, "listen.customers": s.Listen.Customers, "listen.ready": s.Listen.Ready,
		"listen.heartbeats": s.Listen.Heartbeats, "store.address": s.Store.Address,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Wrapf(err, "setting %s", name)
		}
	}
	switch {
	case s.Node.ID == "" || s.Node.Zone == "" || s.Node.Service == "":
		return errors.New("settings node.id, node.zone and node.service are required")
	case s.Node.Grants != descriptor.GrantByCall && s.Node.Grants != descriptor.GrantByHeartbeat:
		return errors.Newf("setting node.grants is %q, not %q or %q", s.Node.Grants, descriptor.GrantByCall, descriptor.GrantByHeartbeat)
	case s.Bounds.Revocation < 0:
		return errors.New("setting bounds.revocation must not be below zero")
	case s.Node.MemoryMB <= 0 || s.Node.Cores < 0 || s.Node.Descriptors < 0:
		return errors.New("setting node.memoryMB must be above zero, node.cores and node.descriptors not below")
	case s.Listen.Peers <= 0 || s.Listen.Metrics <= 0:
		return errors.New("settings listen.peers and listen.metrics are required")
	case s.Bounds.Heartbeat <= 0 || s.Bounds.Grace <= 0 || s.Bounds.RetryWindow <= 0 || s.Bounds.HoldMax <= 0 || s.Bounds.Apply <= 0:
		return errors.New("settings bounds.heartbeat, bounds.grace, bounds.holdMax, bounds.apply and bounds.retryWindow must be above zero")
	case s.Bounds.QuotaWindow < 0 || s.Bounds.QuotaOver < 0 || s.Bounds.QuotaSlack < 0:
		return errors.New("settings bounds.quotaWindow, bounds.quotaOver and bounds.quotaSlack must not be below zero")
	default:
		return nil
	}
}

// bounds returns the bounds for the participant.
func (s *Settings) bounds() participant.Bounds {
	return participant.Bounds{
		RetryRatio: s.Bounds.RetryRatio, RetryWindow: time.Duration(s.Bounds.RetryWindow), RetrySlack: s.Bounds.RetrySlack,
		ZoneOutTimeout: time.Duration(s.Bounds.ZoneOut), ApplyTimeout: time.Duration(s.Bounds.Apply), HeartbeatInterval: time.Duration(s.Bounds.Heartbeat),
		Quota:      accountant.Bounds{Window: time.Duration(s.Bounds.QuotaWindow), Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack},
		Revocation: time.Duration(s.Bounds.Revocation),
	}
}

// bodyMemoryShare is the fraction of the memory for bodies. A body is copied up to twice on
// its way, and the rest of the process needs its part.
const bodyMemoryShare = 0.2

// bodyMemory returns the memory for the bodies of all requests and responses, in bytes.
func (s *Settings) bodyMemory() int64 {
	return int64(bodyMemoryShare * float64(s.Node.MemoryMB) * (1 << 20))
}

// controlMemoryShare is the fraction of the memory for replies of other nodes to control calls.
const controlMemoryShare = 0.06

// controlMemory returns the memory for replies to control calls, in bytes.
func (s *Settings) controlMemory() int64 {
	return int64(controlMemoryShare * float64(s.Node.MemoryMB) * (1 << 20))
}

// metricsAddress returns the address of the metrics page.
func (s *Settings) metricsAddress() string {
	return net.JoinHostPort(s.Node.Address, strconv.Itoa(s.Listen.Metrics))
}

// peersAddress returns the address for other nodes.
func (s *Settings) peersAddress() string {
	return net.JoinHostPort(s.Node.Address, strconv.Itoa(s.Listen.Peers))
}
