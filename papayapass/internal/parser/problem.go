// Package parser parses the rules file.
package parser

import (
	"fmt"
	"strings"
)

// Problem is a mistake in a rules file.
type Problem struct {
	file    string
	line    int
	column  int
	rule    string
	message string
}

// Line returns the line number, counted from one.
func (p Problem) Line() int { return p.line }

// Column returns the number of the byte in the line, counted from one.
func (p Problem) Column() int { return p.column }

// Message returns the mistake and how to fix it.
func (p Problem) Message() string { return p.message }

// String returns the problem, with the text of the rule on a second line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s\n    %s", p.file, p.line, p.column, p.message, p.rule)
}

// Problems holds all mistakes of a file. It implements error.
type Problems []Problem

// Error returns the problems, one after the other.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
