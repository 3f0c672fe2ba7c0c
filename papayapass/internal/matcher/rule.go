// Package matcher holds the routing rules and finds the one that matches a
// request.
package matcher

import (
	"time"

	"papayapass.dev/papayapass/internal/wirepb"
)

// KeySource is the part of a request that holds its key.
type KeySource int

// Sources of a key.
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

// Key locates the key of a request.
type Key struct {
	source  KeySource
	segment int
	name    string
}

// NewPathKey returns a key in a segment of the path, counted from one.
func NewPathKey(segment int) Key { return Key{source: KeyPath, segment: segment} }

// NewQueryKey returns a key in a query parameter.
func NewQueryKey(name string) Key { return Key{source: KeyQuery, name: name} }

// NewHeaderKey returns a key in a header.
func NewHeaderKey(name string) Key { return Key{source: KeyHeader, name: name} }

// Source returns the part of the request that holds the key.
func (k Key) Source() KeySource { return k.source }

// Segment returns the number of the path segment.
func (k Key) Segment() int { return k.segment }

// Name returns the name of the query parameter or header.
func (k Key) Name() string { return k.name }

// Condition selects the requests that a rule applies to. An empty field matches
// every request.
type Condition struct {
	PathPrefix  string
	Methods     []string
	Host        string
	HeaderName  string
	HeaderValue string
}

// Idempotence defines whether the requests of a rule may run twice.
type Idempotence int

// Kinds of idempotence.
const (
	// IdempotentByMethod follows the method: GET, HEAD, OPTIONS and TRACE are
	// idempotent.
	IdempotentByMethod Idempotence = iota
	// IdempotentAlways means that requests may run more than once.
	IdempotentAlways
	// IdempotentNever means that a request runs at most once.
	IdempotentNever
)

// Rule sends the requests that match a condition to a pool.
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

// Options are the fields of a rule besides its condition and pool.
type Options struct {
	Key          Key
	Class        wirepb.Class
	Deadline     time.Duration
	Idempotence  Idempotence
	AccountLimit int
	Requester    string
}

// NewRule returns the rule of a line in the rules file.
func NewRule(line int, c Condition, pool string, o Options) Rule {
	return Rule{
		line: line, condition: c, pool: pool, key: o.Key, class: o.Class, deadline: o.Deadline,
		idempotence: o.Idempotence, accountLimit: o.AccountLimit, requester: o.Requester,
	}
}

// Line returns the line number in the rules file.
func (r *Rule) Line() int { return r.line }

// Condition returns the condition that requests must match.
func (r *Rule) Condition() Condition { return r.condition }

// Pool returns the name of the pool.
func (r *Rule) Pool() string { return r.pool }

// Key returns the location of the key.
func (r *Rule) Key() Key { return r.key }

// Class returns the class of the requests.
func (r *Rule) Class() wirepb.Class { return r.class }

// Deadline returns the longest total time of a request.
func (r *Rule) Deadline() time.Duration { return r.deadline }

// AccountLimit returns how many requests of one account may be in flight at a
// node; zero means no limit.
func (r *Rule) AccountLimit() int { return r.accountLimit }

// Requester returns who requested the rule.
func (r *Rule) Requester() string { return r.requester }

// Idempotent reports whether a request with the method may run twice.
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
