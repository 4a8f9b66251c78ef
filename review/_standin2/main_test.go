// Package main plays the cases of the second review that are scripts: a store, upstreams and clients as the users'
// pages describe them, around the project's own daemon in processes of its own, on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"testing"
)

var cases = map[string]func(w *world) error{
	"deadly-upload": deadlyUpload,
}

// TestMain plays the case that the arguments name. The stand-ins are test code, built by review/build-2.sh.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(w *world) error, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.close()
	if err := play(w); err != nil {
		w.note("the case can't run: %v", err)
		fmt.Println(err)
		return 2
	}
	if len(w.broken) > 0 {
		fmt.Printf("broken: %s\n", w.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}
