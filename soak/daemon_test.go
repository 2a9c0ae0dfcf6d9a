package soak

import "testing"

// Guards against two daemons of a run with one address (seed 3, once: the second
// could not start, and the requests to it failed).
func TestFreePortsReturnsEachPortOnce(t *testing.T) {
	given := make(map[int]bool)
	for range 300 {
		ports, err := freePorts(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, port := range ports {
			if given[port] {
				t.Fatalf("port %d is given twice", port)
			}
			given[port] = true
		}
	}
}
