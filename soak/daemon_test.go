package soak

import "testing"

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
