// Package dispatcher receives customers' requests, chooses the backend server for each,
// retries where that is safe, and responds with the outcome.
package dispatcher

import (
	"context"
	"net/http"
	"time"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/fingerprinter"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// Call is a request on its way to a backend server.
type Call struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Stream is the body, in place of Body, if it is passed on while it arrives.
	Stream     *exchanger.Stream
	Route      string
	Service    string
	Divided    bool
	Key        uint16
	Idempotent bool
	Priority   int
	// CustomerPriority is the priority of the customer, which precedes that of the route; zero, the most
	// urgent, for requests without a key, as those of backend servers.
	CustomerPriority int
	// Customer is the name of the customer, or empty if the request needs no key.
	Customer string
	// ConfigurationVersion is that of the configuration which names the customer.
	ConfigurationVersion uint64
	Objective            time.Duration
	// Caller is the service of the instance that received the request from the customer.
	Caller   string
	Deadline timer.Instant
	// Trace is the W3C traceparent of the previous hop, or empty.
	Trace string
	// Memory takes the memory of the bodies of this request and its responses.
	Memory *budgeter.Lease
	// NoQueue means that the call is rejected rather than queued if no slot is free.
	NoQueue bool
	// Notice is what the calling node knows of the backend server.
	Notice Notice
	// WantsLoad asks for the load of the backend server with the result.
	WantsLoad bool
	// IsSuspect means that a backend server ended while an earlier try of the call ran there.
	IsSuspect bool
}

// Fingerprint returns the fingerprint of the request, without a body that is passed on while it arrives.
func (c *Call) Fingerprint() fingerprinter.Fingerprint {
	return fingerprinter.Sum(fingerprinter.Request{Caller: c.Caller, Method: c.Method, Host: c.Host, URI: c.URI, Key: c.Key, Body: c.Body})
}

// Notice is what one start of a backend server said about itself in a response. Calls and
// results carry it, so that a node that restarts learns it from the others before the
// backend server's next response.
type Notice struct {
	descriptor.ServerNotice

	Server          string `json:"server"`
	StartedAtMillis int64  `json:"born"`
}

// Outcome is the outcome of a call.
type Outcome int

// Outcomes.
const (
	// Answered means that the backend server's whole response was received.
	Answered Outcome = iota
	// NotRun means that the call has not run and will not run.
	NotRun
	// Unknown means that the call may have run.
	Unknown
)

// String returns the outcome's name in logs and between nodes.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason is why a call did not run or why its outcome is unknown.
type Reason string

// Reasons.
const (
	ReasonNone        Reason = ""
	ReasonNoServer    Reason = "no-server"
	ReasonUnreachable Reason = "unreachable"
	ReasonNotOwner    Reason = "not-owner"
	ReasonNotHeld     Reason = "not-held"
	ReasonZoneOut     Reason = "zone-out"
	ReasonFull        Reason = "full"
	ReasonBusy        Reason = "busy"
	ReasonShed        Reason = "shed"
	ReasonDeadline    Reason = "deadline"
	ReasonCanceled    Reason = "canceled"
	ReasonBroken      Reason = "broken"
	ReasonConnections Reason = "connections"
	ReasonStopping    Reason = "stopping"
	ReasonQuarantined Reason = "quarantined"
	ReasonQuota       Reason = "quota"
	ReasonNoQuota     Reason = "no-quota"
	ReasonKey         Reason = "key"
	ReasonRevoked     Reason = "key-revoked"
	ReasonStale       Reason = "stale-configuration"
)

// Result is the result of a call at one backend server.
type Result struct {
	Outcome  Outcome
	Reason   Reason
	Response *exchanger.Response
	// Retry is the expected time until there is room.
	Retry time.Duration
	// Sent means that the request was sent to the backend server.
	Sent bool
	// Disconnected means that the backend server closed the connection before its whole
	// response had arrived: it ended, or cut off this response only.
	Disconnected bool
	// ServerEnded means that the backend server ended while the call ran there.
	ServerEnded bool
	// Notice is what the backend server last said about itself.
	Notice Notice
	// Load is the load of the backend server, or nil if the call did not ask for it.
	Load *Load
}

// Load is the load of a backend server at the end of a call.
type Load struct {
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	MeanDuration time.Duration `json:"mean"`
}

// HeaderCodec reads and writes the platform's headers.
type HeaderCodec interface {
	RequestID(h http.Header) string
	Deadline(h http.Header) (time.Duration, bool)
	Key(h http.Header) (uint16, bool)
	// CustomerKey returns a customer's key, and false if there are several.
	CustomerKey(h http.Header) (string, bool)
	// RemoveCustomer removes the key and any customer's name, SetCustomer sets the name.
	RemoveCustomer(h http.Header)
	SetCustomer(h http.Header, name string)
	SetRequestHeaders(h http.Header, server, caller string, left time.Duration)
	MatchesRequest(h http.Header, id string) bool
	Signed(h http.Header) bool
	NotRun(status int, h http.Header) bool
	Notice(h http.Header) (descriptor.ServerNotice, error)
}

// Server runs calls at a backend server.
type Server interface {
	Serve(ctx context.Context, c *Call) Result
}
