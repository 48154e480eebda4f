// Command driver plays a case of the review: it starts hosts of jacinthd as separate processes
// before stand-ins of the platform's store, of runners and of clients, and checks one rule. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// An arena is what a case is played on.
type arena struct {
	binary  string
	dir     string // of logs and settings
	trouble bool
	log     *record
}

// cases are the cases by their names. Each reports whether the rule was broken.
var cases = map[string]func(arena) bool{"joined": playJoined, "inplace": playInPlace, "leaving": playLeaving}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/jacinthd", "program of jacinthd")
	file := flag.String("record", "record.txt", "file of the record")
	keep := flag.String("logs", "", "folder for the logs of the hosts; a temporary one that is removed if empty")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fail("no such case", fmt.Errorf("%q", *name))
	}
	program, err := filepath.Abs(*binary)
	if err != nil {
		fail("program", err)
	}
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fail("folder", err)
		}
	}
	a := arena{binary: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", log: newRecord()}
	broken := play(a)
	a.log.write(*file)
	if *keep == "" {
		_ = os.RemoveAll(dir)
	}
	if broken {
		os.Exit(1)
	}
}
