// Command papayapass is a node of the router and its operators' command line.
package main

import (
	"os"

	"papayapass.dev/papayapass/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:]))
}
