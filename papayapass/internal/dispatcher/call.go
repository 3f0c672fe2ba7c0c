// Package dispatcher takes the requests of customers at the node where they
// arrive, finds the backend server that is to run each, and answers for the outcome.
package dispatcher

import (
	"context"
	"net/http"
	"time"

	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/timer"
)

// Call is a request on its way to a backend server.
type Call struct {
	ID         string
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Route      string
	Service    string
	Divided    bool
	Key        uint16
	Idempotent bool
	Priority   int
	Objective  time.Duration
	// Caller is the service of the instance where the request began.
	Caller   string
	Deadline timer.Instant
	// Trace is the W3C traceparent of the hop before, or empty.
	Trace string
	// NoQueue says that the call goes elsewhere rather than into a queue.
	NoQueue bool
}

// Outcome says what became of a call.
type Outcome int

// Outcomes.
const (
	// Answered means that the backend server's whole answer is there.
	Answered Outcome = iota
	// NotRun means that the call has not run and never will.
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

// Reason says why a call was not run or why its outcome is unknown.
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
	ReasonStopping    Reason = "stopping"
)

// Result is what became of a call at one backend server.
type Result struct {
	Outcome  Outcome
	Reason   Reason
	Response *exchanger.Response
	// Retry is the time after which there will be room.
	Retry time.Duration
	// Sent says that the request reached the backend server.
	Sent bool
}

// HeaderCodec reads and writes what the platform puts in headers.
type HeaderCodec interface {
	RequestID(h http.Header) string
	Deadline(h http.Header) (time.Duration, bool)
	Key(h http.Header) (uint16, bool)
	SetRequestHeaders(h http.Header, server, caller string, left time.Duration)
	MatchesRequest(h http.Header, id string) bool
	Signed(h http.Header) bool
	NotRun(status int, h http.Header) bool
}

// Server runs calls at a backend server.
type Server interface {
	Serve(ctx context.Context, c *Call) Result
}
