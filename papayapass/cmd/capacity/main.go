// Command capacity measures what control costs at several sizes and prints the
// slopes that docs/CAPACITY.md is worked out from.
package main

import (
	"fmt"
	"os"

	"papayapass.dev/papayapass/internal/sizer"
)

func main() {
	if err := sizer.Report(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
