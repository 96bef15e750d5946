// Command review2 plays the scripted cases of the second independent review. It starts
// instances of the system as separate processes, with stand-ins of the store, the databases
// and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// cases are the cases by name. Each reports whether the rule was broken. trouble is false
// if the disruption is left out.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"frozen-promoter":  frozenPromoter,
	"draining-primary": drainingPrimary,
	"replaced-fleet":   replacedFleet,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	code, err := play(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func play(name, binary, record string) (int, error) {
	run, ok := cases[name]
	if !ok {
		return exitFailed, fmt.Errorf("there is no case %q", name)
	}
	rec, err := newRecorder(record)
	if err != nil {
		return exitFailed, err
	}
	c, err := newCluster(rec, binary)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return exitFailed, err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		c.close()
		os.Exit(exitFailed)
	}()
	broken, err := run(c, os.Getenv("TROUBLE") != "0")
	c.recordRuns()
	if err != nil {
		return exitFailed, err
	}
	if broken {
		fmt.Println("the rule was broken")
		return exitBroken, nil
	}
	fmt.Println("the rule held")
	return exitHeld, nil
}
