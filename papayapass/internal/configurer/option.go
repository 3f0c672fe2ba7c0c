// Package configurer reads and validates the settings of a node.
package configurer

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Names of the options.
const (
	NodeID                 = "node.id"
	NodeZone               = "node.zone"
	CellName               = "cell.name"
	CellSeeds              = "cell.seeds"
	ListenCallers          = "listen.callers"
	ListenPeers            = "listen.peers"
	ListenStatus           = "listen.status"
	AnnounceFrom           = "announce.from"
	PlatformAddress        = "platform.address"
	LimitBodyBytes         = "limits.bodyBytes"
	LimitBodyTime          = "limits.bodyTime"
	LimitQueueTime         = "limits.queueTime"
	LimitCallerConnections = "limits.callerConnections"
	TLSCertificate         = "tls.certificate"
	TLSKey                 = "tls.key"
	TLSRoots               = "tls.roots"
	StopTimeout            = "stop.timeout"
	LogLevel               = "log.level"
	LogFormat              = "log.format"
	TraceEndpoint          = "trace.endpoint"
	TraceShare             = "trace.share"
)

// Validator returns an error that describes the expected form if a value is invalid.
type Validator func(value string) error

// Option is one setting.
type Option struct {
	name         string
	defaultValue string
	required     bool
	unit         string
	help         string
	validate     Validator
}

// Name returns the name: the TOML table, a dot and the key.
func (o Option) Name() string { return o.name }

// Default returns the default value.
func (o Option) Default() string { return o.defaultValue }

// Required reports whether a value must be set.
func (o Option) Required() bool { return o.required }

// Unit returns the unit or format of the value.
func (o Option) Unit() string { return o.unit }

// Help returns the description of the option.
func (o Option) Help() string { return o.help }

// Environment returns the name of the environment variable that sets the
// option.
func (o Option) Environment() string {
	var b strings.Builder
	b.WriteString("PAPAYAPASS_")
	for _, r := range o.name {
		switch {
		case r == '.':
			b.WriteByte('_')
		case r >= 'A' && r <= 'Z':
			b.WriteByte('_')
			b.WriteRune(r)
		default:
			b.WriteString(strings.ToUpper(string(r)))
		}
	}
	return b.String()
}

// Options returns all options, in the order of the settings page.
func Options() []Option {
	return []Option{
		{name: NodeID, required: true, unit: "name", help: "name of the instance, the same after each restart of it", validate: isName},
		{name: NodeZone, required: true, unit: "name", help: "availability zone of the instance", validate: isName},
		{name: CellName, defaultValue: "main", unit: "name", help: "cell that the node belongs to", validate: isName},
		{name: CellSeeds, unit: "addresses, split by commas", help: "peers to ask when the platform is down at the start", validate: isAddresses},
		{name: ListenCallers, required: true, unit: "IP address:port", help: "HTTP port for callers", validate: isAddress},
		{name: ListenPeers, required: true, unit: "IP address:port", help: "port for other nodes, under the address by which they reach it", validate: isAddress},
		{name: ListenStatus, required: true, unit: "IP address:port", help: "HTTP port for announcements, status, metrics and health", validate: isAddress},
		{name: AnnounceFrom, defaultValue: "127.0.0.0/8,::1/128", unit: "networks, split by commas", help: "networks from which announcements of the backend server are accepted", validate: isNetworks},
		{name: PlatformAddress, required: true, unit: "IP address:port", help: "the platform's object API", validate: isAddress},
		{name: LimitBodyBytes, defaultValue: "1048576", unit: "bytes", help: "largest body of a request", validate: isInteger(1, 4<<20)},
		{name: LimitBodyTime, defaultValue: "10s", unit: "duration", help: "time that a caller has to send a request", validate: isDuration(10*time.Millisecond, time.Minute)},
		{name: LimitQueueTime, defaultValue: "2s", unit: "duration", help: "longest wait for the backend server; a longer one refuses fewer requests, a shorter one lowers the tail latency", validate: isDuration(time.Millisecond, time.Minute)},
		{name: LimitCallerConnections, defaultValue: "4096", unit: "connections", help: "open connections of callers", validate: isInteger(1, 1_000_000)},
		{name: TLSCertificate, unit: "PEM file", help: "this node's certificate for links between nodes; without it they have neither encryption nor authentication", validate: isAnything},
		{name: TLSKey, unit: "PEM file", help: "key of the certificate", validate: isAnything},
		{name: TLSRoots, unit: "PEM file", help: "CA certificates that sign the certificates of this site's nodes; reloaded when changed, as are certificate and key", validate: isAnything},
		{name: StopTimeout, defaultValue: "15s", unit: "duration", help: "longest time that a graceful stop waits for requests in progress", validate: isDuration(0, 10*time.Minute)},
		{name: LogLevel, defaultValue: "info", unit: "debug, info, warn or error", help: "lowest level that is logged", validate: isOneOf("debug", "info", "warn", "error")},
		{name: LogFormat, defaultValue: "json", unit: "json or console", help: "format of the log", validate: isOneOf("json", "console")},
		{name: TraceEndpoint, unit: "URL", help: "OTLP over HTTP endpoint for traces; without it tracing is off", validate: isAnything},
		{name: TraceShare, defaultValue: "0.01", unit: "share from 0 to 1", help: "share of the requests without a trace context that are sampled", validate: isShare},
	}
}

const maxNameBytes = 64

func isName(value string) error {
	if value == "" || len(value) > maxNameBytes || strings.ContainsAny(value, " \t\n/,") {
		return errors.Newf("want a name of 1 to %d bytes without blanks, commas and slashes", maxNameBytes)
	}
	return nil
}

func isAddress(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.New("want an IP address and a port, such as 127.0.0.1:8080")
	}
	return nil
}

func isAddresses(value string) error {
	for _, a := range SplitList(value) {
		if err := isAddress(a); err != nil {
			return err
		}
	}
	return nil
}

func isNetworks(value string) error {
	for _, n := range SplitList(value) {
		if _, _, err := net.ParseCIDR(n); err != nil {
			return errors.New("want networks such as 127.0.0.0/8, split by commas")
		}
	}
	return nil
}

func isInteger(low, high int) Validator {
	return func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < low || n > high {
			return errors.Newf("want a whole number from %d to %d", low, high)
		}
		return nil
	}
}

func isDuration(low, high time.Duration) Validator {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < low || d > high {
			return errors.Newf("want a duration from %s to %s, such as 500ms", low, high)
		}
		return nil
	}
}

func isOneOf(choices ...string) Validator {
	return func(value string) error {
		for _, c := range choices {
			if value == c {
				return nil
			}
		}
		return errors.Newf("want one of %s", strings.Join(choices, ", "))
	}
}

func isShare(value string) error {
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || f < 0 || f > 1 {
		return errors.New("want a number from 0 to 1")
	}
	return nil
}

func isAnything(string) error { return nil }

// SplitList returns the trimmed elements of a comma-separated list.
func SplitList(value string) []string {
	if value == "" {
		return nil
	}
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
