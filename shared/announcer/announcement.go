// Package announcer holds the contract between a node and the backend server
// beside it: the announcement body and the headers of a call.
package announcer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Paths that a node and a backend server serve for each other.
const (
	// AnnouncePath is the node's path for announcements, on its status port.
	AnnouncePath = "/v1/announce"
	// CancelPath is the backend server's path for cancelling a call; the call
	// id follows it.
	CancelPath = "/papayapass/cancel/"
)

// Headers of a call from a node to its backend server, and of its answer.
const (
	// HeaderCall carries the id of the call.
	HeaderCall = "Papayapass-Call"
	// HeaderToken carries the fencing token of the slice, in decimal.
	HeaderToken = "Papayapass-Token"
	// HeaderSlice carries the start of the slice, in hexadecimal.
	HeaderSlice = "Papayapass-Slice"
	// HeaderDeadline carries the time left for the call, in milliseconds.
	HeaderDeadline = "Papayapass-Deadline-Millis"
	// HeaderNotRun is set by a backend server that refused a call without
	// running any of it. Its value says why.
	HeaderNotRun = "Papayapass-Not-Run"
	// HeaderOutcome tells a caller what became of its request.
	HeaderOutcome = "Papayapass-Outcome"
	// HeaderReason tells a caller why its request was not answered.
	HeaderReason = "Papayapass-Reason"
	// HeaderCaller tells callers of one account apart.
	HeaderCaller = "Papayapass-Caller"
	// HeaderAccount names the caller's account.
	HeaderAccount = "Papayapass-Account"
)

// Values of HeaderNotRun.
const (
	// NotRunShed means that the backend server has no room for the call.
	NotRunShed = "shed"
	// NotRunFenced means that the fencing token was older than one seen.
	NotRunFenced = "fenced"
	// NotRunDraining means that the backend server takes no new work.
	NotRunDraining = "draining"
)

// MaxAnnouncementBytes bounds the body of an announcement.
const MaxAnnouncementBytes = 4096

const (
	maxPoolBytes    = 64
	maxAddressBytes = 256
	maxSlots        = 100_000
	maxConnections  = 100_000
)

// Announcement is what a backend server tells the node beside it, again and
// again for as long as it serves.
type Announcement struct {
	// Pool is the name of the pool that the backend server belongs to.
	Pool string `json:"pool"`
	// Address is the IP address and port of the backend server's HTTP port.
	Address string `json:"address"`
	// Zone is the availability zone of the backend server.
	Zone string `json:"zone"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts in all.
	Connections int `json:"connections"`
	// Divided says that each key belongs to one backend server of the pool.
	Divided bool `json:"divided"`
	// ChecksTokens says that the backend server refuses older fencing tokens.
	ChecksTokens bool `json:"checksTokens"`
	// Cold says that the backend server has just started.
	Cold bool `json:"cold"`
	// Draining says that the backend server is about to leave.
	Draining bool `json:"draining"`
	// Instance is a number that changes with each start of the backend server.
	Instance uint64 `json:"instance"`
	// Load is the backend server's own report of its load, between 0 and 1.
	Load float64 `json:"load"`
}

// Decode parses and checks the body of an announcement.
func Decode(body []byte) (Announcement, error) {
	var a Announcement
	if len(body) > MaxAnnouncementBytes {
		return a, errors.Newf("announcement is %d bytes long, at most %d are taken", len(body), MaxAnnouncementBytes)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, errors.Wrap(err, "announcement is not the expected JSON")
	}
	return a, a.Validate()
}

// Encode returns the body of an announcement.
func (a Announcement) Encode() ([]byte, error) {
	return json.Marshal(a)
}

// Validate checks that each field is in its range.
func (a Announcement) Validate() error {
	switch {
	case a.Pool == "" || len(a.Pool) > maxPoolBytes:
		return errors.Newf("pool %q: want 1 to %d bytes", a.Pool, maxPoolBytes)
	case a.Address == "" || len(a.Address) > maxAddressBytes:
		return errors.Newf("address %q: want 1 to %d bytes", a.Address, maxAddressBytes)
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Newf("slots %d: want 1 to %d", a.Slots, maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return errors.Newf("connections %d: want 1 to %d", a.Connections, maxConnections)
	default:
		return nil
	}
}
