package intake

import (
	"math"
	"runtime/debug"
	"sync"

	"golang.org/x/sys/unix"
)

// gcFraction is the part of the memory that is set as the soft memory limit of the Go runtime.
// Near it, garbage collection runs more often.
const gcFraction = 0.6

// SetGCLimit sets the soft memory limit of the Go runtime for a process with the given memory.
func SetGCLimit(memoryBytes int64) { debug.SetMemoryLimit(int64(gcFraction * float64(memoryBytes))) }

// HostMemory returns the memory of this process if its settings state none: the limit of the Go
// runtime (GOMEMLIMIT) as it was at first, or else that of the host.
var HostMemory = sync.OnceValue(hostMemory)

func hostMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultHostMemory
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

// HostDescriptors returns how many descriptors this process may open.
func HostDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultHostDescriptors
	}
	return int(min(limit.Cur, maxHostDescriptors))
}

const (
	// defaultHostMemory and defaultHostDescriptors apply where the system does not tell.
	defaultHostMemory      = 512 << 20
	defaultHostDescriptors = 1024
	// maxHostDescriptors is more than any process needs; some systems state no limit.
	maxHostDescriptors = 1 << 20
)
