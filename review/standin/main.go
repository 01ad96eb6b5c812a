// Command standin plays the clients, the servers and the platform of the cases of the review.
//
// It runs in the root of the repository, starts the project's program as in the deploy file, and exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fail("usage: standin CASE RECORD")
	}
	play, ok := map[string]func(*scene) bool{
		"twice":     playTwice,
		"cold":      playCold,
		"zone-loss": playZoneLoss,
		"gone":      playGone,
	}[os.Args[1]]
	if !ok {
		fail("unknown case %s", os.Args[1])
	}
	os.Exit(runCase(os.Args[2], play))
}

// scene is what a case has at hand.
type scene struct {
	rec     *record
	store   *store
	dir     string
	trouble bool
}

// runCase plays a case and returns the exit status.
func runCase(path string, play func(*scene) bool) int {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	defer os.RemoveAll(dir)
	rec := newRecord(path)
	defer rec.close()
	s := &scene{rec: rec, store: newStore(), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if play(s) {
		rec.say("the rule held")
		return 0
	}
	rec.say("the rule was broken")
	return 1
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// fail ends the program if the case cannot run. Its instances end with it.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}
