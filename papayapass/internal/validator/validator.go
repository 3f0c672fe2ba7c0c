// Package validator decides whether data from outside the product, decoded by a platform
// adapter, can be used. What it rejects is logged and changes nothing.
package validator

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// maxNameBytes is the longest name of an availability zone or of a backend server.
	maxNameBytes = 253
	// maxExcerptBytes limits text from outside in a log line.
	maxExcerptBytes = 256
)

// Name returns an error for text that cannot be the name of an availability zone or the id
// of a backend server. Such names are copied into headers, tables and log lines.
func Name(s string) error {
	switch {
	case s == "":
		return errors.New("empty name")
	case len(s) > maxNameBytes:
		return errors.Newf("name of %d bytes begins with %q, at most %d are allowed", len(s), Excerpt(s), maxNameBytes)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, func(r rune) bool { return unicode.IsControl(r) || unicode.IsSpace(r) }):
		return errors.Newf("name %q has a space or a control character", s)
	default:
		return nil
	}
}

// Excerpt returns the beginning of text from outside, for a log line.
func Excerpt(s string) string {
	if len(s) <= maxExcerptBytes {
		return s
	}
	return s[:maxExcerptBytes] + "..."
}
