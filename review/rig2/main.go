// Command rig2 plays the cases of the second review: it starts gates as the deploy file says, with
// stand-ins of the platform, the backend servers and the clients around them.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not be played. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play plays one case. It returns whether the rule was broken.
type play func(f *fleet, trouble bool) (broken bool, err error)

// plays holds the cases by name, each with the figures of its site.
var plays = map[string]struct {
	play play
	site site
}{
	"endless-head": {playEndlessHead, skammtur},
	"drill":        {playDrill, skammtur},
	"stray":        {playStray, skammtur},
	"upgrade":      {playUpgrade, skammtur},
}

// skammtur holds the figures of the gates of the site skammtur-lm.
var skammtur = site{gates: 5, memoryMB: 284, fds: 4100, graceS: 8, extra: 58}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitFailed
	}
	chosen, found := plays[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitFailed
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	f, err := newFleet(record, chosen.site)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		f.end()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %v", os.Args[1], trouble)
	broken, err := chosen.play(f, trouble)
	switch {
	case err != nil:
		record.add("not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		record.add("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
