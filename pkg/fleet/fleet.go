// Package fleet maintains one daemon's view of the BackendServers: which exist,
// which are leaving and which are gone. It does no I/O. Its input consists of
// entries of the platform's store that this daemon has read or received from a
// peer.
package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Server describes one run of a BackendServer, from its start to its end.
type Server struct {
	ID               string `cbor:"1,keyasint"`
	Service          string `cbor:"2,keyasint"`
	Address          string `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	Slots            int    `cbor:"5,keyasint"`
	// Leaving is set when the server no longer accepts new requests.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// LeavesIn is the time until the server's end as announced when Leaving was
	// reported; 0 means that no time was announced.
	LeavesIn time.Duration `cbor:"7,keyasint,omitempty"`
	// Reclaimable is set for cheap servers that the platform may reclaim, possibly
	// all servers of a zone at once.
	Reclaimable bool `cbor:"8,keyasint,omitempty"`
	// StartedUnixMilli is the start time in Unix milliseconds. It distinguishes
	// runs of a server with the same ID.
	StartedUnixMilli int64 `cbor:"9,keyasint,omitempty"`
	// Version is the version of the server's software.
	Version string `cbor:"10,keyasint,omitempty"`
}

// RunID identifies the run of the server.
func (s *Server) RunID() string { return fmt.Sprintf("%s#%d", s.ID, s.StartedUnixMilli) }

// SplitRunID returns the ID of a server and the start of its run, as in RunID. It returns false
// if the run has no start, so that it began before all others.
func SplitRunID(run string) (id string, startedUnixMilli int64, ok bool) {
	id, started, _ := strings.Cut(run, "#")
	startedUnixMilli, err := strconv.ParseInt(started, 10, 64)
	return id, startedUnixMilli, err == nil
}

// Entry is the state of one ID in the store. Server is nil if the entry was
// removed or cannot be decoded.
type Entry struct {
	ID     string  `cbor:"1,keyasint"`
	Server *Server `cbor:"2,keyasint,omitempty"`
	// Version is the store's version at which the entry had this state: when it was
	// written or removed, or, for an entry that a list lacks, the list's version.
	Version table.Version `cbor:"3,keyasint,omitempty"`
}

// Options configures a Core.
type Options struct {
	// StoreReturnGrace is how long servers whose entries expired during a store
	// outage are kept after it, so that running servers can write their entries
	// again.
	StoreReturnGrace time.Duration
	// Run identifies the run of this daemon to its peers.
	Run uint64
}

// Change is the kind of change that an Event reports.
type Change int

// Kinds of changes.
const (
	// ServerJoined means that the server accepts requests.
	ServerJoined Change = iota + 1
	// ServerLeaving means that the server accepts no new requests but may still
	// answer the current ones.
	ServerLeaving
	// ServerGone means that the server no longer has an entry.
	ServerGone
)

// String returns the name of the change for logs.
func (c Change) String() string { return [...]string{"none", "joined", "leaving", "gone"}[c] }

// Event is a change of one server.
type Event struct {
	Server Server
	Change Change
}

// changeOf returns the change that leads to the state of a server.
func changeOf(s *Server) Change {
	if s.Leaving {
		return ServerLeaving
	}
	return ServerJoined
}

// isOtherRun reports whether two states of one ID describe different runs.
func (s *Server) isOtherRun(o *Server) bool {
	return s.StartedUnixMilli != o.StartedUnixMilli || s.Version != o.Version || s.Address != o.Address || s.Service != o.Service
}

// isEquivalent reports whether peers that have one state need not be told of the
// other: LeavesIn counts down with every heartbeat.
func (s Server) isEquivalent(o Server) bool {
	s.LeavesIn, o.LeavesIn = 0, 0
	return s == o
}

// digest returns a hash of the state, by which daemons find that they have the same
// servers.
func (s *Server) digest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %q %d %t %t %d %q", s.ID, s.Service, s.Address, s.AvailabilityZone, s.Slots, s.Leaving,
		s.Reclaimable, s.StartedUnixMilli, s.Version))
}
