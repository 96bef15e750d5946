// Command review-lab plays the cases of the review. It starts instances as separate
// processes with the command of the deploy file, runs stand-ins of the store, the
// promotion call, the databases and the callers, and checks one rule from what the
// callers and the databases saw.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play runs one case. It returns a description of each breach of the rule.
type play func(r *record, trouble bool) (breaches []string, err error)

var plays = map[string]play{
	"split-message": playSplitMessage,
	"shed-begin":    playShedBegin,
	"shed-set":      playShedSet,
	"sync-replica":  playSyncReplica,
	"late-delete":   playLateDelete,
	"silent-stop":   playSilentStop,
	"freeze":        playFreeze,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "", "file to which the record is written")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	p, ok := plays[*name]
	if !ok || *path == "" {
		fmt.Fprintln(os.Stderr, "review-lab: -case and -record are required")
		return exitFailed
	}
	r := newRecord()
	breaches, err := p(r, *trouble)
	code := exitHeld
	switch {
	case err != nil:
		r.add("result", "the case could not run: %v", err)
		code = exitFailed
	case len(breaches) > 0:
		for _, b := range breaches {
			r.add("breach", "%s", b)
		}
		r.add("result", "the rule was broken %d times", len(breaches))
		code = exitBroken
	default:
		r.add("result", "the rule held")
	}
	if err := r.writeTo(*path); err != nil {
		fmt.Fprintln(os.Stderr, "review-lab:", err)
		return exitFailed
	}
	fmt.Printf("%s, trouble %t: %s\n", *name, *trouble, r.last())
	return code
}
