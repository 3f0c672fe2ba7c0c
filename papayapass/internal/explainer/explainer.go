// Package explainer contains the help pages of the command line.
package explainer

import (
	"embed"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

//go:embed pages/*.md
var pages embed.FS

// Topics returns the names of all pages in alphabetical order.
func Topics() []string {
	entries, err := pages.ReadDir("pages")
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".md"))
	}
	sort.Strings(out)
	return out
}

// Page returns the text of the help page on a topic.
func Page(topic string) (string, error) {
	text, err := pages.ReadFile("pages/" + topic + ".md")
	if err != nil {
		return "", errors.Newf("there is no help on %q: topics are %s", topic, strings.Join(Topics(), ", "))
	}
	return string(text), nil
}
