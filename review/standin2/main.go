// Command standin2 plays the cases of the second review: it starts the project's program as
// separate processes on loopback addresses, with stand-ins for the platform, the operator,
// the engines and the callers, and checks one rule.
//
//	standin2 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases are the functions that play the cases. They return whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"back":    playBack,
	"founder": playFounder,
	"frozen":  playFrozen,
	"reseed":  playReseed,
	"seed":    playSeed,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return cannotRun
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.record("the case could not run: %v", err)
		return cannotRun
	case broken:
		w.record("RESULT: the rule was broken")
		return ruleBroken
	}
	w.record("RESULT: the rule held")
	return ruleHeld
}
