// Package announcer defines the protocol between a node and its local backend
// server (the announcement body and the headers of a call), and the headers
// between callers and nodes.
package announcer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Paths of the calls between a node and its local backend server.
const (
	// AnnouncePath is the node's path for announcements, on its status port.
	AnnouncePath = "/v1/announce"
	// CancelPath is the backend server's path prefix for cancelling a call; the
	// call id follows.
	CancelPath = "/papayapass/cancel/"
)

// Headers of calls between a node and its backend server, or a caller and a node.
const (
	// HeaderCall carries the id of the call. A backend server echoes it, so that a response
	// repeated on a connection is not taken for the next one.
	HeaderCall = "Papayapass-Call"
	// HeaderToken carries the fencing token of the slice, in decimal.
	HeaderToken = "Papayapass-Token"
	// HeaderSlice carries the start of the slice, in hexadecimal.
	HeaderSlice = "Papayapass-Slice"
	// HeaderDeadline carries the time left until the deadline, in milliseconds.
	HeaderDeadline = "Papayapass-Deadline-Millis"
	// HeaderNotRun is set by a backend server that refused a call without
	// running any part of it. Its value is the reason.
	HeaderNotRun = "Papayapass-Not-Run"
	// HeaderOutcome carries the outcome of a caller's request.
	HeaderOutcome = "Papayapass-Outcome"
	// HeaderReason carries the reason why a caller's request was not answered.
	HeaderReason = "Papayapass-Reason"
	// HeaderCaller distinguishes the callers of one account.
	HeaderCaller = "Papayapass-Caller"
	// HeaderAccount names the caller's account.
	HeaderAccount = "Papayapass-Account"
)

// Values of HeaderNotRun.
const (
	// NotRunShed means that the backend server is at capacity.
	NotRunShed = "shed"
	// NotRunFenced means that the backend server has seen a newer fencing token.
	NotRunFenced = "fenced"
	// NotRunDraining means that the backend server accepts no new calls.
	NotRunDraining = "draining"
)

// MaxAnnouncementBytes is the maximum size of an announcement's body.
const MaxAnnouncementBytes = 4096

const (
	maxPoolBytes    = 64
	maxAddressBytes = 256
	maxSlots        = 100_000
	maxConnections  = 100_000
)

// Announcement is the state that a backend server reports periodically to the
// node beside it.
type Announcement struct {
	// Pool is the name of the pool that the backend server belongs to.
	Pool string `json:"pool"`
	// Address is the IP address and HTTP port of the backend server.
	Address string `json:"address"`
	// Zone is the availability zone of the backend server.
	Zone string `json:"zone"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the total number of connections that it accepts.
	Connections int `json:"connections"`
	// Divided reports whether the pool is sharded by key, with one owner for each key.
	Divided bool `json:"divided"`
	// ChecksTokens reports whether the backend server refuses older fencing tokens.
	ChecksTokens bool `json:"checksTokens"`
	// Cold reports whether the backend server has just started.
	Cold bool `json:"cold"`
	// Draining reports whether the backend server is about to leave.
	Draining bool `json:"draining"`
	// Instance is a number that differs after each start of the backend server.
	Instance uint64 `json:"instance"`
	// Load is the load that the backend server measures, between 0 and 1.
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

// Validate returns an error if a field is out of its range.
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
