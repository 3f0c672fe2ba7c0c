// Command standins plays the scripts of the second review: it starts nodes of the system as processes, with
// stand-ins for the platform's store, upstreams and clients, and checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	timeLimit   = 110 * time.Second
	troubleName = "TROUBLE"
)

var errNotAcknowledged = errors.New("the notice was not acknowledged")

// scripts are the scripts by name. They report whether the rule was broken.
var scripts = map[string]func(root, dir string, trouble bool) (bool, error){
	"coldagain":      coldAgain,
	"leaveforgotten": leaveForgotten,
	"silentlink":     silentLink,
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	script, ok := scripts[flag.Arg(0)]
	if !ok {
		fmt.Println("no script", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	go func() { // the processes end with this one
		time.Sleep(timeLimit)
		fmt.Println("the script took too long")
		os.Exit(exitNotRun)
	}()
	broken, err := script(*root, *dir, os.Getenv(troubleName) != "0")
	switch {
	case err != nil:
		fmt.Println("the script could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("RULE BROKEN")
		os.Exit(exitBroken)
	default:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
}
