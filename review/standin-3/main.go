// Command standin3 runs a case of the review: it starts the project's processes, and stand-ins of
// the platform's store, of servers and of clients in itself. It exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// A scenario is a case. trouble says whether its disruption is made.
type scenario func(d *deployment, log *record, trouble bool) int

var scenarios = map[string]scenario{
	"headers": manyHeaders,
	"gone":    removedServers,
}

func main() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		started.killAll()
		os.Exit(2)
	}()
	os.Exit(run())
}

// run runs the case NAME with the program BINARY, and writes what was sent, answered and run into the file RECORD.
func run() (code int) {
	defer started.killAll()
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Println("not run:", cause)
			code = 2
		}
	}()
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE BINARY RECORD")
		return 2
	}
	temporary, err := os.MkdirTemp("", "review")
	check(err)
	defer os.RemoveAll(temporary)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		temporary = keep
	}
	binary, err := filepath.Abs(os.Args[2])
	check(err)
	d := &deployment{dir: temporary, binary: binary, store: newStore(), zones: "north-a=north,north-b=north,south-a=south,south-b=south"}
	log := openRecord(os.Args[3])
	return scenarios[os.Args[1]](d, log, os.Getenv("TROUBLE") != "0")
}

// couldNotRun tells why a case couldn't run.
func couldNotRun(log *record, why string) int {
	log.line("not run: %s", why)
	fmt.Println("not run: " + why)
	return 2
}

func verdict(log *record, broken bool, what string) int {
	log.line("%s", what)
	fmt.Println(what)
	if broken {
		return 1
	}
	return 0
}
