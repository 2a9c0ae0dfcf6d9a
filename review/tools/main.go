// Command review plays the cases of an independent review: daemons as processes of their own
// against stand-ins for the platform, its workers and its clients, all on loopback. It exits with 1
// if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errCannotRun reports that a case could not be brought about.
var errCannotRun = errors.New("case could not run")

// cases holds the cases by name. Each returns how the rule was broken, if it was.
var cases = map[string]func(*deployment, bool) ([]string, error){
	"clock": playClock,
	"drill": playDrill,
	"early": playEarly,
	"flap":  playFlap,
	"hang":  playHang,
	"held":  playHeld,
	"usage": playUsage,
}

// maxRunTime is the time after which a case is given up.
const maxRunTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken []string
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := cases[name](d, os.Getenv("TROUBLE") != "0")
		ended <- result{broken, err}
	}()
	status := 2
	select {
	case e := <-ended:
		switch {
		case e.err != nil:
			r.add("%v", e.err)
			fmt.Fprintln(os.Stderr, e.err)
		case len(e.broken) > 0:
			status = 1
			for _, b := range e.broken {
				r.add("broken: %s", b)
				fmt.Println("broken:", b)
			}
		default:
			status = 0
			r.add("held")
			fmt.Println("held")
		}
	case <-signals:
	case <-time.After(maxRunTime):
		r.add("given up after %s", maxRunTime)
		fmt.Fprintln(os.Stderr, "given up after", maxRunTime)
	}
	d.close()
	return status
}
