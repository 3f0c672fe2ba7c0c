// Command standin runs stand-ins for the systems around papayapass: the platform,
// backend servers and callers.
package main

import (
	"os"

	"papayapass.dev/standin/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:]))
}
