package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const repository = "../../.."

// TestSettingsPage checks that docs/SETTINGS.md matches the options.
func TestSettingsPage(t *testing.T) {
	var want bytes.Buffer
	require.NoError(t, writeSettingsPage(&want))
	got, err := os.ReadFile(filepath.Join(repository, "docs/SETTINGS.md"))
	require.NoError(t, err)
	require.Equal(t, want.String(), string(got), "run: papayapass settings --markdown > docs/SETTINGS.md")
}

// TestCommandsOfPages checks that each papayapass command in the documentation exists,
// and so do its flags.
func TestCommandsOfPages(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(repository, "docs/*.md"))
	require.NoError(t, err)
	pages = append(pages, filepath.Join(repository, "README.md"))
	command := regexp.MustCompile("(?m)(?:^    |`)papayapass ([a-z][^`#\n]*)")
	found := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range command.FindAllStringSubmatch(string(text), -1) {
			found++
			words := strings.Fields(match[1])
			cmd, rest, err := newRoot().Find(words)
			require.NoError(t, err, "%s: %s", page, match[1])
			require.NotEqual(t, "papayapass", cmd.Name(), "%s: %s", page, match[1])
			for _, word := range rest {
				if name, ok := strings.CutPrefix(word, "--"); ok {
					name, _, _ = strings.Cut(name, "=")
					known := cmd.Flags().Lookup(name) != nil || cmd.InheritedFlags().Lookup(name) != nil
					require.True(t, known, "%s: %s has no flag --%s", page, cmd.Name(), name)
				}
			}
		}
	}
	require.Greater(t, found, 8)
}

// TestShippedRules checks that the rules files of both sites are valid.
func TestShippedRules(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(repository, "rules/*.rules"))
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		_, _, err := readRules(file)
		require.NoError(t, err)
	}
}
