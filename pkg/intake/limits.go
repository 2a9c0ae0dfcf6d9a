package intake

import "time"

const (
	// memoryFraction is the part of a host's memory for heads, bodies and answers, and
	// connectionFraction that for open connections. The rest is for the process itself, for garbage
	// and for what the kernel holds unread.
	memoryFraction     = 0.15
	connectionFraction = 0.1
	// reservedFraction is the part of the memory of bodies for those that hold little.
	reservedFraction = 0.125
	// smallBytes is what a connection may hold to count as one that holds little.
	smallBytes = 64 << 10
	// stallTime and stallBytes tell a client that stalls from a slow one. They count only while
	// memory or connections are short.
	stallTime  = time.Second
	stallBytes = 4 << 10
	// stallMemory is how long a client that has stalled comes after others.
	stallMemory = 2 * time.Minute
	// maxMemoryWait is how long a body or an answer waits for memory. It is longer than stallTime,
	// so that stalled clients are found out meanwhile.
	maxMemoryWait = 1500 * time.Millisecond
	// firstMaxMemoryWait is that of the first request of a client. Answers that are being read end
	// meanwhile, or stall.
	firstMaxMemoryWait = 6 * time.Second
	// maxWaiting limits what waiting costs: each that waits asks again every waitInterval.
	maxWaiting = 64
	// ownDescriptors is the number of descriptors for files and for the process itself.
	ownDescriptors = 200
	// minConnections is the least number of connections of a listener.
	minConnections = 16
)

// Host is what a process has, and how its listeners share it.
type Host struct {
	MemoryBytes int64
	Descriptors int
	// Listeners holds the shares of the listeners by name. The descriptors that none of them takes
	// are for connections that the process opens itself.
	Listeners map[string]Share
}

// Share is what the connections of a listener may take.
type Share struct {
	// Fraction is that of the descriptors.
	Fraction float64
	// BytesPerConnection is what the server needs for an open connection. Listeners that state it share
	// connectionFraction of the memory.
	BytesPerConnection int64
}

// LimitsFor derives the limits for the clients of a process from its host.
func LimitsFor(h Host) Limits {
	bytes := int64(memoryFraction * float64(h.MemoryBytes))
	l := Limits{Bytes: bytes, Connections: make(map[string]int, len(h.Listeners)),
		ReservedBytes: int64(reservedFraction * float64(bytes)), SmallBytes: smallBytes,
		StallTime: stallTime, StallBytes: stallBytes, StallMemory: stallMemory, MaxWait: maxMemoryWait, FirstMaxWait: firstMaxMemoryWait, MaxWaiting: maxWaiting}
	descriptors := float64(max(h.Descriptors-ownDescriptors, 0))
	needed := 0.0
	for _, share := range h.Listeners {
		needed += descriptors * share.Fraction * float64(share.BytesPerConnection)
	}
	part := 1.0
	if most := connectionFraction * float64(h.MemoryBytes); needed > most {
		part = most / needed
	}
	for name, share := range h.Listeners {
		n := descriptors * share.Fraction
		if share.BytesPerConnection > 0 {
			n *= part
		}
		l.Connections[name] = max(int(n), minConnections)
	}
	return l
}
