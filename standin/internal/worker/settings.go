package worker

import "time"

// Settings configure a backend server.
type Settings struct {
	// Name is the server's name in journals.
	Name string
	// Pool is the name of the pool.
	Pool string
	// Zone is the availability zone.
	Zone string
	// ListenAddress is the address of the HTTP listener.
	ListenAddress string
	// NodeAddress is the status address of the local node.
	NodeAddress string
	// Slots is the maximum number of concurrent requests once warmed up.
	Slots int
	// Connections is the maximum number of connections.
	Connections int
	// Divided reports whether the pool is divided (sharded by key).
	Divided bool
	// ChecksTokens makes the server reject fencing tokens older than one seen.
	ChecksTokens bool
	// Cold makes the server start cold: it needs a warm-up to use all slots.
	Cold bool
	// ServiceTime is the mean time of a request.
	ServiceTime time.Duration
	// Journal is the file for executions; empty means none.
	Journal string
	// Seed seeds the random service times.
	Seed uint64
}

// Control is a bench's command to a backend server. It replaces the previous one.
type Control struct {
	// Slowdown multiplies the service time; zero means no slowdown.
	Slowdown float64 `json:"slow"`
	// RestartWarmUp makes the server cold again without announcing it.
	RestartWarmUp bool `json:"chill"`
	// Drain makes the server announce that it is draining.
	Drain bool `json:"drain"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
}
