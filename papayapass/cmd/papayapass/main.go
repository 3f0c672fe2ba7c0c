// Command papayapass runs a node of the request router and is the operators' command line.
package main

import (
	"os"

	"papayapass.dev/papayapass/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:]))
}
