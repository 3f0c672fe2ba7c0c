// Command capacity measures the cost of the control plane at several sizes and prints
// the fitted lines from which docs/CAPACITY.md is calculated.
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
