// Command harness runs the cases of the review that cannot be put as a day of the bench. It starts the programs of the
// deploy file as processes of their own on loopback addresses, with stand-ins for clients, servers and the operator.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// scenarios are the cases by name. Each returns whether the rule held.
var scenarios = map[string]func(r *record, trouble bool) (held bool, err error){
	"blocked":   runBlocked,
	"mode":      runMode,
	"queued":    runQueued,
	"slow-body": runSlowBody,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	held, err := scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	case !held:
		r.add("the rule is broken")
		fmt.Println("the rule is broken")
		os.Exit(exitBroken)
	}
	r.add("the rule holds")
	fmt.Println("the rule holds")
	os.Exit(exitHeld)
}
