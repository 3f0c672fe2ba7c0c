// Package differ shows how two texts differ.
package differ

import "github.com/pmezard/go-difflib/difflib"

// contextLines is the number of equal lines around a difference.
const contextLines = 1

// Lines returns the difference of two texts in unified form; it is empty when
// they are equal.
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
