// Command standin3 runs the scripted cases of the third review: it starts the project's own
// program as separate processes on loopback addresses, with stand-ins for backend servers,
// callers, the operator and the platform, and checks one rule from what these see.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The values of the last argument.
const (
	withoutTrouble = "0"
	withTrouble    = "1"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases maps the name of a case to the function that plays it.
var cases = map[string]func(w *world, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != withTrouble && os.Args[3] != withoutTrouble {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD-FILE 0|1; 0 leaves the disruption out")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3] == withTrouble))
}

func play(run func(w *world, trouble bool) (verdict, error), recordFile string, trouble bool) int {
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.recordf("the disruption is played: %v", trouble)
	v, err := run(w, trouble)
	if err != nil {
		w.recordf("NOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w.recordf("RESULT: %s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
