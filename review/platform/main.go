// Command review-cases runs the scripts of the review: it starts nodes as processes, and is
// the stand-in for the platform's store, the upstreams and the clients.
package main

import (
	"fmt"
	"os"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(notRun)
	}
}

func main() {
	cases := map[string]func(dir, record string, trouble bool) int{
		"two-holders": twoHolders, "late-after-drain": lateAfterDrain, "old-fence": oldFence,
		"left-forgotten": leftForgotten,
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE TEMPORARY-FOLDER RECORD")
		os.Exit(notRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}
