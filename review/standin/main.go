// Command standin plays the cases of the review: it starts hosts of `jacinthd serve` and
// runners as separate processes on loopback addresses, with a store and clients of its own.
//
//	standin stop|leaving|versions|long -program FILE -record FILE [-trouble 0]
//	standin runner ...
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. With
// -trouble 0 it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*site) error{"stop": stopCase, "leaving": leavingCase, "versions": versionsCase, "long": longCase}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE -program FILE -record FILE")
		os.Exit(2)
	}
	if os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, runRunner(os.Args[2:]))
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	f := flag.NewFlagSet("standin", flag.ExitOnError)
	program := f.String("program", "", "program file of jacinthd")
	record := f.String("record", "", "file for the record")
	trouble := f.String("trouble", "1", "0 leaves the disruption out; a case may know parts of it")
	_ = f.Parse(os.Args[2:])
	os.Exit(run(play, *program, *record, *trouble))
}

func run(play func(*site) error, program, record, trouble string) int {
	s, err := newSite(program, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	// Where this program was started with SIGHUP ignored, its processes would be too. One that is
	// handled here has its default action there.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.close()
		os.Exit(2)
	}()
	if err := play(s); err != nil {
		s.note("could not run: %v", err)
		return 2
	}
	if n := s.broken.Load(); n > 0 {
		s.note("result: the rule was broken %d times", n)
		return 1
	}
	s.note("result: the rule held")
	return 0
}
