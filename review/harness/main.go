// Command harness runs one case of review/: it starts the project's programs and the
// stand-ins of the case, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*cluster) (bool, error){
	"departure": departure,
	"silence":   silence,
	"forgotten": forgotten,
	"spoilt":    spoilt,
}

// limit ends a case that hangs.
const limit = 116 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return 2
	}
	c, err := newCluster(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	type end struct {
		held bool
		err  error
	}
	done := make(chan end, 1)
	go func() {
		held, err := cases[os.Args[1]](c)
		done <- end{held, err}
	}()
	select {
	case e := <-done:
		switch {
		case e.err != nil:
			c.note("result   could not run: %v", e.err)
			return 2
		case e.held:
			c.note("result   the rule held")
			return 0
		}
		c.note("result   the rule was broken")
		return 1
	case <-time.After(limit):
		c.note("result   could not run: not done after %s", limit)
		return 2
	}
}
