package soak

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Guards against two daemons of a run that are assigned the same address. This
// happened once with seed 3: the second daemon could not start, and the requests
// to it failed.
func TestFreePortsReturnsEachPortOnce(t *testing.T) {
	returned := make(map[int]bool)
	for range 300 {
		ports, err := freePorts(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, port := range ports {
			if returned[port] {
				t.Fatalf("port %d was returned twice", port)
			}
			returned[port] = true
		}
	}
}

// TestFreePortsAreReserved guards against two soaks of different processes that are assigned the same
// port: the daemon that started second could not listen.
func TestFreePortsAreReserved(t *testing.T) {
	ports, err := freePorts(50)
	if err != nil {
		t.Fatal(err)
	}
	for _, port := range ports {
		if reservePort(port) {
			t.Fatalf("port %d is free for another process", port)
		}
	}
}

// TestFreePortsAreFreeWhileProcessesStart guards against ports that are in use for a moment
// after they were returned, because a process that was started meanwhile holds them.
func TestFreePortsAreFreeWhileProcessesStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var starting sync.WaitGroup
	defer starting.Wait()
	defer cancel()
	for range 4 {
		starting.Go(func() {
			for ctx.Err() == nil {
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 400 {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("a free address is in use: %v", err)
		}
		_ = listener.Close()
	}
}
