// Command cases plays the cases of the review that are scripts: it starts daemons as separate
// processes against stand-ins of the platform, of servers and of clients, on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitSetup  = 2
)

// cases holds the cases by name. Each returns whether its rule held.
var cases = map[string]func(l *lab, trouble bool) bool{
	"one-machine-lost": oneMachineLost,
	"all-stopped":      allStopped,
	"versions-joined":  versionsJoined,
	"timeout-lowered":  timeoutLowered,
}

func main() {
	os.Exit(run())
}

// run plays the case named by the first argument and writes its record into the folder named by
// the second one.
func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return exitSetup
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	defer func() { _ = file.Close() }()
	log := &record{file: file, startedAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	defer func() {
		failed := recover()
		if failed == nil {
			return
		}
		var setup *setupError
		if err, ok := failed.(error); !ok || !errors.As(err, &setup) {
			panic(failed)
		}
		log.printf("could not run: %v", setup)
		fmt.Fprintln(os.Stderr, setup)
		code = exitSetup
	}()
	l := newLab(ctx, log)
	defer l.close()
	held := cases[os.Args[1]](l, os.Getenv("TROUBLE") != "0")
	if ctx.Err() != nil {
		log.printf("could not run: out of time")
		return exitSetup
	}
	if !held {
		return exitBroken
	}
	return exitHeld
}
