// Command stand plays the cases of the review: it starts stand-ins of the platform, the
// workers and the clients, starts entry hosts as processes of their own, and checks what
// the workers and the clients see.
//
// # Usage
//
//	target/review-stand ends review/1/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(record string, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand CASE RECORD")
		os.Exit(couldNot)
	}
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("the case took too long")
		os.Exit(couldNot) // the processes end with this one
	})
	result := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule was broken", couldNot: "the case could not run"}[result])
	os.Exit(result)
}

func (w *world) verdict(result int, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	w.record("%s", text)
	fmt.Println(text)
	return result
}
