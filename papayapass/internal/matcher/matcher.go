package matcher

import (
	"bytes"
	"slices"
	"strings"
)

// Request is the part of a request that rules match. Its values are only valid
// during the call.
type Request interface {
	// Method returns the HTTP method.
	Method() []byte
	// Path returns the decoded path of the URI.
	Path() []byte
	// Host returns the host.
	Host() []byte
	// Header returns the value of a header, or nil.
	Header(name string) []byte
	// Query returns the value of a query parameter, or nil.
	Query(name string) []byte
}

// RuleSet holds the rules of a file in order; the first one that matches
// applies.
type RuleSet struct {
	rules []Rule
}

// NewRuleSet returns a set of rules.
func NewRuleSet(rules []Rule) *RuleSet { return &RuleSet{rules: rules} }

// Rules returns the rules in order. The caller must not modify them.
func (s *RuleSet) Rules() []Rule { return s.rules }

// Match returns the first rule that matches a request, or nil.
func (s *RuleSet) Match(r Request) *Rule {
	for i := range s.rules {
		if s.rules[i].matches(r) {
			return &s.rules[i]
		}
	}
	return nil
}

func (r *Rule) matches(req Request) bool {
	c := &r.condition
	if !strings.HasPrefix(string(req.Path()), c.PathPrefix) {
		return false
	}
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, string(req.Method())) {
		return false
	}
	if c.Host != "" && !strings.EqualFold(c.Host, string(req.Host())) {
		return false
	}
	return c.HeaderName == "" || string(req.Header(c.HeaderName)) == c.HeaderValue
}

// ExtractKey returns the request's key. It reports false if the rule requires a
// key and the request has none.
func (r *Rule) ExtractKey(req Request) ([]byte, bool) {
	switch r.key.source {
	case KeyPath:
		return nonEmpty(pathSegment(req.Path(), r.key.segment))
	case KeyQuery:
		return nonEmpty(req.Query(r.key.name))
	case KeyHeader:
		return nonEmpty(req.Header(r.key.name))
	default:
		return nil, true
	}
}

func nonEmpty(key []byte) ([]byte, bool) { return key, len(key) > 0 }

// pathSegment returns the numbered segment of a path, counted from one.
func pathSegment(path []byte, number int) []byte {
	path = bytes.TrimPrefix(path, []byte("/"))
	for range number - 1 {
		_, rest, ok := bytes.Cut(path, []byte("/"))
		if !ok {
			return nil
		}
		path = rest
	}
	first, _, _ := bytes.Cut(path, []byte("/"))
	return first
}
