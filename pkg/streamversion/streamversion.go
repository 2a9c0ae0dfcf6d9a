// Package streamversion decides at which software version of its service a stream may
// go on.
//
// What two versions of a server write does not fit together, and servers do not check
// it: a stream may go on only at the version that began it. The daemon that passes on
// the first event of a stream records the version. A caller may take the stream up at
// any other daemon, also after the first one has ended, so that while a service has
// servers of several versions, records are copied to a few holders and looked up at
// other daemons on demand. While a service has had servers of one version only for as
// long as a stream lasts, that version began every stream, and nothing is copied.
//
// The package does no I/O: it is told the time, the changes of the servers and what
// other daemons sent.
package streamversion

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

const (
	// defaultStreamAge is how long after a stream has begun a caller may take it up, until
	// the configuration is known.
	defaultStreamAge = 30 * time.Second
	// maxOwnRecords and maxCopies limit the records of streams that this daemon has
	// begun, and the copies of those of others. The oldest are dropped first.
	maxOwnRecords = 16384
	maxCopies     = 65536
)

// Origin is the service and the software version that began a stream. An empty version
// is one that is not known; no stream goes on at it.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint,omitempty"`
}

// record is what is known of one stream.
type record struct {
	origin  Origin
	expires time.Time
	// revision numbers the records of which holders need a copy; it is 0 for others.
	revision uint64
	// collected is set once collectors are sent the record, and stored once the store has it.
	collected, stored bool
}

// Core holds what one daemon knows of versions and streams. It is not safe for
// concurrent use.
type Core struct {
	// node, zone and run identify this daemon, its AvailabilityZone and its run.
	node, zone string
	run        uint64
	versions   *history
	own        records
	copies     records
	// streamAge is how long after a stream has begun a caller may take it up, by the configuration in
	// force, and ageText the same as it is kept in the history, or empty.
	streamAge time.Duration
	ageText   string
	// revision is the number of changes to records of which holders need a copy.
	revision uint64
	holders  map[string]*holder
	// cores is the number of cores of this daemon, members are the other daemons that are alive, and
	// collectors the order in which all collect the records of each part, unless it is to be determined.
	cores      float64
	members    []Member
	collectors *[maxParts][]candidate
	// newKeys holds the records since the last call of Collections, and fullPassAt is when that last
	// looked at all. uncollected holds the records that the store lacks, uncollectedOrder their keys.
	newKeys          []uint64
	fullPassAt       time.Time
	uncollected      map[uint64]*collected
	uncollectedOrder []uint64
	// calls is the number of calls in progress to each collector, passedOver holds until when others
	// collect in place of those that do not reply, and refusing those that can't store records.
	calls                map[string]int
	passedOver, refusing map[string]time.Time
	// uncoveredReadAt is when ReadsRow last let a daemon read the row that does not know all versions
	// in use.
	uncoveredReadAt time.Time
	// rowWrittenAt is when this daemon last wrote the row of versions, and turn the position at which
	// it does so if the daemons that rank as hubs do not.
	rowWrittenAt time.Time
	// aliveAt is when each other daemon was last known to be alive, by node.
	aliveAt map[string]time.Time
	turn    int
}

// New returns an empty Core of a daemon.
func New(node, zone string, run uint64) *Core {
	return &Core{node: node, zone: zone, run: run, streamAge: defaultStreamAge, versions: newHistory(), own: newRecords(maxOwnRecords), copies: newRecords(maxCopies),
		holders: make(map[string]*holder), aliveAt: make(map[string]time.Time), uncollected: make(map[uint64]*collected), calls: make(map[string]int),
		passedOver: make(map[string]time.Time), refusing: make(map[string]time.Time)}
}

// keyBytes is the size of a key. Among the streams of 590 daemons, of which millions may be
// taken up at a time, two with one key are too rare to matter.
const keyBytes = 6

// keyOf returns the key of a stream, which is named by the ID of the caller's attempt
// that brought its first event.
func keyOf(stream string) uint64 { return xxhash.Sum64String(stream) >> (64 - 8*keyBytes) }

// SetCores sets the number of cores of this daemon.
func (c *Core) SetCores(cores float64) { c.cores = cores }

// Began records that the run in a server's entry has begun a stream. It is called before the
// first event is passed on to the caller.
func (c *Core) Began(now time.Time, stream string, server *fleet.Server) {
	c.own.put(now, keyOf(stream), record{origin: originOf(server), expires: now.Add(c.streamAge)})
	c.newKeys = append(c.newKeys, keyOf(stream))
}

// originOf returns the origin that a server gives to streams. The version in an entry that does
// not state which run it describes may not be that of the run that answers.
func originOf(s *fleet.Server) Origin {
	if s.StartedUnixMilli == 0 {
		return Origin{Service: s.Service}
	}
	return Origin{Service: s.Service, Version: s.Version}
}

// Learned records the origin of a stream that another daemon has stated.
func (c *Core) Learned(now time.Time, stream string, origin Origin) {
	c.copies.put(now, keyOf(stream), record{origin: origin, expires: now.Add(c.StreamAge(now))})
}

// Recorded returns the recorded origin of a stream.
func (c *Core) Recorded(now time.Time, stream string) (Origin, bool) {
	return c.recorded(now, keyOf(stream))
}

func (c *Core) recorded(now time.Time, key uint64) (Origin, bool) {
	if r, ok := c.own.get(now, key); ok {
		return r.origin, true
	}
	r, ok := c.copies.get(now, key)
	return r.origin, ok
}

// OnlyVersion returns the version that has begun all streams of a service which callers may still take
// up, if there is only one. It is not known to a daemon whose knowledge does not reach back far enough.
func (c *Core) OnlyVersion(now time.Time, service string) (string, bool) {
	return c.versions.only(now, service, c.StreamAge(now))
}

// HandleServer applies a change of a server.
func (c *Core) HandleServer(now time.Time, e *fleet.Event) {
	c.versions.handle(now, e, c.StreamAge(now))
}

// records is a bounded set of records by key. Records expire in the order in which they
// were put, because all are kept for the same time.
type records struct {
	limit int
	byKey map[uint64]record
	order []uint64
}

func newRecords(limit int) records { return records{limit: limit, byKey: make(map[uint64]record)} }

func (r *records) put(now time.Time, key uint64, value record) {
	if _, known := r.byKey[key]; !known {
		r.order = append(r.order, key)
	}
	r.byKey[key] = value
	for len(r.order) > 0 && (len(r.order) > r.limit || !now.Before(r.byKey[r.order[0]].expires)) {
		delete(r.byKey, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *records) get(now time.Time, key uint64) (record, bool) {
	value, ok := r.byKey[key]
	return value, ok && now.Before(value.expires)
}
