// Command _stand2 plays the scripts of the review's cases against a small deployment on
// loopback.
//
// # Usage
//
//	TROUBLE=1 target/review2/stand CASE review/N/record.txt
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(r *record, trouble bool) int{
	"waiting": waiting,
	"outage":  outage,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %v", os.Args[1], trouble)
	code := cases[os.Args[1]](r, trouble)
	r.add("exit code %d", code)
	os.Exit(code)
}
