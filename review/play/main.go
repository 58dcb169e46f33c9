package main

import (
	"fmt"
	"os"
)

// verdict is what a case found.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by their names. trouble is false if the disruption is to be left out.
var cases = map[string]func(c *record, trouble bool) (verdict, error){
	"forgotten-departure": forgottenDeparture,
	"cut-events":          cutEvents,
	"poison-waves":        poisonWaves,
	"upgrades-in-place":   upgradesInPlace,
}

// The exit codes: the rule held, it was broken, and the case could not run.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption %v", os.Args[1], trouble)
	v, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	r.note("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
