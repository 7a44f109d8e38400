// Command stand plays the cases of the review: it starts the programs of the deploy file on
// loopback addresses, plays clients, servers and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// trouble is false if the run is to be played without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	cases := map[string]func(c *cluster) (int, error){"replace": replaceCase, "departed": departedCase, "spoilt": spoiltCase, "ninth": ninthCase, "silent": silentCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(failed)
	}
	c, err := newCluster(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](c)
	if err != nil {
		c.note("could not run: %v", err)
		code = failed
	}
	c.close()
	os.Exit(code)
}
