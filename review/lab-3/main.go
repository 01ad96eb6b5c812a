// Command lab-3 runs the scripted cases of the third review. It starts a small deployment of the tier as separate processes on loopback
// addresses, with stand-ins for the platform's store, servers and clients, and exits with 1 if a rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const program = "target/crocuswing"

var (
	record    *os.File
	recordMu  sync.Mutex
	beganAt   = time.Now()
	isTrouble = os.Getenv("TROUBLE") != "0"
	cleanup   []func()
	cleanOnce sync.Once
)

// note writes a line to record.txt with the time since the start.
func note(format string, args ...any) { noteAt(time.Now(), format, args...) }

func noteAt(at time.Time, format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(record, "%8.3f %s\n", at.Sub(beganAt).Seconds(), fmt.Sprintf(format, args...))
}

func check(err error) {
	if err != nil {
		fail(err.Error())
	}
}

// fail ends a case that could not run.
func fail(reason string) {
	if record != nil {
		note("the case could not run: %s", reason)
	}
	fmt.Println("could not run:", reason)
	end(2)
}

// end stops all processes and exits.
func end(code int) {
	cleanOnce.Do(func() {
		for _, f := range cleanup {
			f()
		}
	})
	os.Exit(code)
}

// verdict reports the result and ends the case.
func verdict(broken int, text string) {
	note("%s", text)
	fmt.Println(text)
	if broken > 0 {
		end(1)
	}
	end(0)
}

var cases = map[string]func(dir string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab-3 CASE FOLDER")
		os.Exit(2)
	}
	var err error
	record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	dir, err := os.MkdirTemp("", "review-3-")
	check(err)
	cleanup = append(cleanup, func() { _ = os.RemoveAll(dir) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fail("interrupted")
	}()
	time.AfterFunc(110*time.Second, func() { fail("took too long") })
	note("case %s, trouble: %v", os.Args[1], isTrouble)
	cases[os.Args[1]](dir)
}
