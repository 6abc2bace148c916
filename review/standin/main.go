// Command standin runs the cases of the review that are scripts: it starts the programs of
// the deploy file as processes, with stand-ins of the clients, engines and the platform.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"drain":    runDrain,
	"order":    runOrder,
	"revoke":   runRevoke,
	"exposure": runExposure,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	v, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	if v.broken {
		rec.line("BROKEN: %s", v.reason)
		fmt.Println("broken:", v.reason)
		os.Exit(1)
	}
	rec.line("held: %s", v.reason)
	fmt.Println("held:", v.reason)
}
