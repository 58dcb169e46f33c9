// Command lab runs one case of the review: it starts shedrock's processes on loopback addresses, plays
// the callers, instances and the operator around them, and judges what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in
// the environment, it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	held     = 0
	broken   = 1
	notRun   = 2
	caseArgs = 3
)

var cases = map[string]func(*lab) (bool, error){
	"isolation": isolation,
	"restart":   restart,
	"versions":  versions,
}

func main() {
	if len(os.Args) != caseArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and returns the exit status.
func run(play func(*lab) (bool, error), folder string) int {
	l, err := newLab(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer l.close()
	isBroken, err := play(l)
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		return notRun
	case isBroken:
		l.note("the rule was broken")
		return broken
	}
	l.note("the rule held")
	return held
}
