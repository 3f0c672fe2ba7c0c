package assigner

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the random seed, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
