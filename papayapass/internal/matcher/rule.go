// Package matcher holds the routing rules and finds the one for a request.
package matcher

import (
	"time"

	"papayapass.dev/papayapass/internal/wirepb"
)

// KeySource says where a request carries its key.
type KeySource int

// Places of a key.
const (
	// KeyNone means that any backend server of the pool may serve the request.
	KeyNone KeySource = iota
	// KeyPath is a segment of the path, counted from one.
	KeyPath
	// KeyQuery is a query parameter.
	KeyQuery
	// KeyHeader is a header.
	KeyHeader
)

// Key says where a request carries its key.
type Key struct {
	source  KeySource
	segment int
	name    string
}

// NewPathKey returns the key in a segment of the path, counted from one.
func NewPathKey(segment int) Key { return Key{source: KeyPath, segment: segment} }

// NewQueryKey returns the key in a query parameter.
func NewQueryKey(name string) Key { return Key{source: KeyQuery, name: name} }

// NewHeaderKey returns the key in a header.
func NewHeaderKey(name string) Key { return Key{source: KeyHeader, name: name} }

// Source returns the place.
func (k Key) Source() KeySource { return k.source }

// Segment returns the number of the path segment.
func (k Key) Segment() int { return k.segment }

// Name returns the name of the query parameter or header.
func (k Key) Name() string { return k.name }

// Condition is what a request must look like for a rule to apply. Empty parts
// hold for each request.
type Condition struct {
	PathPrefix  string
	Methods     []string
	Host        string
	HeaderName  string
	HeaderValue string
}

// Idempotence says whether the work of a rule may run twice.
type Idempotence int

// Kinds of idempotence.
const (
	// IdempotentByMethod follows the method: GET, HEAD, OPTIONS and TRACE are.
	IdempotentByMethod Idempotence = iota
	// IdempotentAlways means that the work may be repeated.
	IdempotentAlways
	// IdempotentNever means that the work runs at most once.
	IdempotentNever
)

// Rule sends requests that fit a condition to a pool.
type Rule struct {
	line         int
	condition    Condition
	pool         string
	key          Key
	class        wirepb.Class
	deadline     time.Duration
	idempotence  Idempotence
	accountLimit int
	requester    string
}

// Options are the parts of a rule besides its condition and pool.
type Options struct {
	Key          Key
	Class        wirepb.Class
	Deadline     time.Duration
	Idempotence  Idempotence
	AccountLimit int
	Requester    string
}

// NewRule returns a rule of a line of the rules file.
func NewRule(line int, c Condition, pool string, o Options) Rule {
	return Rule{
		line: line, condition: c, pool: pool, key: o.Key, class: o.Class, deadline: o.Deadline,
		idempotence: o.Idempotence, accountLimit: o.AccountLimit, requester: o.Requester,
	}
}

// Line returns the number of the line in the rules file.
func (r *Rule) Line() int { return r.line }

// Condition returns what a request must look like.
func (r *Rule) Condition() Condition { return r.condition }

// Pool returns the name of the pool.
func (r *Rule) Pool() string { return r.pool }

// Key returns the place of the key.
func (r *Rule) Key() Key { return r.key }

// Class returns the class of the requests.
func (r *Rule) Class() wirepb.Class { return r.class }

// Deadline returns the time that a request may take in all.
func (r *Rule) Deadline() time.Duration { return r.deadline }

// AccountLimit returns how many requests of one account may be in progress at a
// node; zero is no limit.
func (r *Rule) AccountLimit() int { return r.accountLimit }

// Requester returns who asked for the rule.
func (r *Rule) Requester() string { return r.requester }

// Idempotent says whether a request with a method may run twice.
func (r *Rule) Idempotent(method string) bool {
	switch r.idempotence {
	case IdempotentAlways:
		return true
	case IdempotentNever:
		return false
	default:
		return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE"
	}
}
