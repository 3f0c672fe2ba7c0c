package worker

import "time"

// Settings describe a backend server.
type Settings struct {
	// Name is the name in journals.
	Name string
	// Pool is the name of the pool.
	Pool string
	// Zone is the availability zone.
	Zone string
	// ListenAddress is the address of the HTTP port.
	ListenAddress string
	// NodeAddress is the status address of the node beside it.
	NodeAddress string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Connections is the number of connections that it accepts.
	Connections int
	// Divided says that keys have one owner.
	Divided bool
	// ChecksTokens says that older fencing tokens are refused.
	ChecksTokens bool
	// Cold starts the server cold.
	Cold bool
	// ServiceTime is the mean time of a request.
	ServiceTime time.Duration
	// Journal is the file that executions are written to.
	Journal string
	// Seed fixes the random service times.
	Seed uint64
}

// Control is what a test bench asks of a backend server.
type Control struct {
	// Slowdown multiplies the service time; zero leaves it.
	Slowdown float64 `json:"slow"`
	// RestartWarmUp makes the server cold without an announcement.
	RestartWarmUp bool `json:"chill"`
	// Drain announces that the server is leaving.
	Drain bool `json:"drain"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
}
