// Package differ compares texts.
package differ

import "github.com/pmezard/go-difflib/difflib"

// contextLines is the number of unchanged lines shown around a difference.
const contextLines = 1

// Lines returns the difference between two texts in unified diff format, which is
// empty if they are equal.
func Lines(before, after string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(before),
		B:        difflib.SplitLines(after),
		FromFile: "in the platform",
		ToFile:   "file",
		Context:  contextLines,
	})
	if err != nil {
		return ""
	}
	return text
}
