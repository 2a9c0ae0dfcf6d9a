package streamversion

import (
	"fmt"
	"time"
)

const (
	// RecordsTimeout is the time for one write of records. It is that of a call to a store which is 60
	// times slower than usual.
	RecordsTimeout = 1200 * time.Millisecond
	// writeSpacing is the least time between the begins of two writes to a partition. A collector
	// makes 17 writes a second, where the store of a small deployment takes 400 and a partition 125.
	writeSpacing = 60 * time.Millisecond
	// slowWrite is the time from which on a write counts as slow, so that other records need not wait
	// for it.
	slowWrite = 50 * time.Millisecond
	// writeRetry is the time after which records are written again whose write has failed.
	writeRetry = 500 * time.Millisecond
	// rowSpan and maxRowRecords are the time and the number of records after which another row is
	// begun. Each write repeats the records of its row.
	rowSpan       = time.Second
	maxRowRecords = 512
	// maxLanes is the number of partitions to which a collector writes: its own, and the next ones while
	// writes to those before them are slow.
	maxLanes = 4
	// rowReuse is how long after its last write a row is used again. The holder of the duties deletes
	// rows that have not changed for some minutes.
	rowReuse = time.Minute
	// maxWriteRecords is the number of records in one write. Their keys take 24 KB.
	maxWriteRecords = 4096
)

// logState is what the store has of a record in a RecordLog.
type logState int

const (
	logPending logState = iota
	logWriting
	logFailed
	logStored
)

type logEntry struct {
	origin  Origin
	expires time.Time
	state   logState
	// retryAt is when a record whose write has failed is written again.
	retryAt time.Time
}

// logRow is a row of the store that only this run of a daemon writes.
type logRow struct {
	key string
	// writes is the number of its writes, all of which were acknowledged.
	writes   uint64
	keys     []uint64
	openedAt time.Time
	// writtenAt is when the last write began, and expires when all records have expired.
	writtenAt, expires time.Time
}

// logLane is the rows of a RecordLog in one partition of the store, which are written one after the other.
type logLane struct {
	writing bool
	beganAt time.Time
	open    *logRow
	// closed holds the other rows, oldest first.
	closed []*logRow
}

// RecordLog decides how a collector writes records of streams to the store. It appends to rows of its
// own. It is not safe for concurrent use.
//
// Invariant: a row is written again only if all its writes were acknowledged, so that its version is
// known, and no late write can replace records that the store has acknowledged.
type RecordLog struct {
	owner string
	// home is the number of the partition to which records are written first.
	home    int
	entries map[uint64]*logEntry
	order   []uint64
	// waiting holds the keys of the records to be written.
	waiting []uint64
	lanes   [recordsPartitions]logLane
	rows    int
	// failing is set once a write has failed, until one succeeds.
	failing bool
}

// NewRecordLog returns an empty log of a run of a daemon.
func NewRecordLog(node string, run uint64) *RecordLog {
	return &RecordLog{owner: fmt.Sprintf("%s/%016x", node, run), entries: make(map[uint64]*logEntry)}
}

// Add adds the records of a message that are to be stored, unless they are.
func (l *RecordLog) Add(now time.Time, m *Message) {
	l.expire(now)
	l.home = max(m.Partition, 0) % recordsPartitions
	b := &m.Batch
	for i := range b.Groups {
		g := &b.Groups[i]
		expires := now.Add(time.Duration(g.RemainingMillis) * time.Millisecond)
		for keys := g.Streams; len(keys) >= keyBytes; keys = keys[keyBytes:] {
			key := firstKey(keys)
			if l.entries[key] != nil {
				continue
			}
			l.entries[key] = &logEntry{origin: g.Origin, expires: expires}
			l.order = append(l.order, key)
			l.waiting = append(l.waiting, key)
		}
	}
}

// expire drops records that nobody may ask for any more. Those that have come out of order stay longer.
func (l *RecordLog) expire(now time.Time) {
	for len(l.order) > 0 {
		if e := l.entries[l.order[0]]; e != nil && now.Before(e.expires) && len(l.order) <= maxCopies {
			return
		}
		delete(l.entries, l.order[0])
		l.order = l.order[1:]
	}
}

// Outcome returns what has become of records that were added.
func (l *RecordLog) Outcome(b *Batch) CollectOutcome {
	outcome := RecordsStored
	for i := range b.Groups {
		for keys := b.Groups[i].Streams; len(keys) >= keyBytes; keys = keys[keyBytes:] {
			e := l.entries[firstKey(keys)]
			switch {
			case e == nil || e.state == logFailed || l.failing && e.state != logStored:
				return RecordsNotStored
			case e.state != logStored:
				outcome = RecordsBeingWritten
			}
		}
	}
	return outcome
}

// RecordsWrite is a write of one row, on the condition that the row has been written Writes times in
// this epoch of the store.
type RecordsWrite struct {
	Partition, Row string
	Writes         uint64
	Batch          Batch
	lane           int
	row            *logRow
	keys           []uint64
}

// Next returns the next write to make, or none, and when to ask again at the latest; zero means when
// records are added or a write has ended.
func (l *RecordLog) Next(now time.Time) (write *RecordsWrite, again time.Time) {
	due, again := l.due(now)
	if len(due) == 0 {
		return nil, again
	}
	lane, again := l.freeLane(now)
	if lane < 0 {
		return nil, again
	}
	return l.write(now, lane, due), now
}

// due returns the records that may be written now, and when the next one may be.
func (l *RecordLog) due(now time.Time) (due []uint64, again time.Time) {
	kept := l.waiting[:0]
	for _, key := range l.waiting {
		e := l.entries[key]
		if e == nil || !now.Before(e.expires) {
			continue
		}
		kept = append(kept, key)
		switch {
		case !now.Before(e.retryAt) && len(due) < maxWriteRecords:
			due = append(due, key)
		case now.Before(e.retryAt) && (again.IsZero() || e.retryAt.Before(again)):
			again = e.retryAt
		}
	}
	l.waiting = kept
	return due, again
}

// freeLane returns the partition for the next write: the first one, or another while the writes to those
// before it are slow. Otherwise it returns -1, and when to look again.
func (l *RecordLog) freeLane(now time.Time) (int, time.Time) {
	again := time.Time{}
	for i := range maxLanes {
		number := (l.home + i) % recordsPartitions
		lane := &l.lanes[number]
		wait := lane.beganAt.Add(writeSpacing)
		if !lane.writing && !now.Before(wait) {
			return number, now
		}
		if lane.writing {
			wait = lane.beganAt.Add(slowWrite)
			if !now.Before(wait) {
				continue
			}
		}
		if again.IsZero() || wait.Before(again) {
			again = wait
		}
		break
	}
	return -1, again
}

func (l *RecordLog) write(now time.Time, number int, due []uint64) *RecordsWrite {
	lane := &l.lanes[number]
	row := l.rowFor(now, lane, len(due))
	w := &RecordsWrite{Partition: RecordsPartitions()[number], Row: row.key, Writes: row.writes, lane: number, row: row, keys: due}
	taken := make(map[uint64]bool, len(due))
	for _, key := range due {
		l.entries[key].state = logWriting
		taken[key] = true
	}
	kept := l.waiting[:0]
	for _, key := range l.waiting {
		if !taken[key] {
			kept = append(kept, key)
		}
	}
	l.waiting = kept
	row.keys = append(row.keys, due...)
	w.Batch = l.batch(now, row)
	lane.writing, lane.beganAt, row.writtenAt = true, now, now
	return w
}

// rowFor returns the row for a number of records: the open one while it is neither full nor old, one
// whose records have all expired, or a new one.
func (l *RecordLog) rowFor(now time.Time, lane *logLane, records int) *logRow {
	if o := lane.open; o != nil {
		if len(o.keys)+records <= maxRowRecords && now.Sub(o.openedAt) < rowSpan {
			return o
		}
		lane.closed = append(lane.closed, o)
	}
	for len(lane.closed) > 0 && now.Sub(lane.closed[0].writtenAt) >= rowReuse {
		lane.closed = lane.closed[1:]
	}
	if len(lane.closed) > 0 && !now.Before(lane.closed[0].expires) {
		lane.open, lane.closed = lane.closed[0], lane.closed[1:]
		lane.open.keys = nil
	} else {
		l.rows++
		lane.open = &logRow{key: fmt.Sprintf("%s/%08d", l.owner, l.rows)}
	}
	lane.open.openedAt = now
	return lane.open
}

// batch returns the records of a row.
func (l *RecordLog) batch(now time.Time, row *logRow) Batch {
	var b Batch
	groups := make(map[Origin]int)
	for _, key := range row.keys {
		e := l.entries[key]
		if e == nil || !now.Before(e.expires) {
			continue
		}
		if e.expires.After(row.expires) {
			row.expires = e.expires
		}
		i, ok := groups[e.origin]
		if !ok {
			i = len(b.Groups)
			groups[e.origin] = i
			b.Groups = append(b.Groups, Group{Origin: e.origin})
		}
		g := &b.Groups[i]
		g.Streams = appendKey(g.Streams, key)
		g.RemainingMillis = max(g.RemainingMillis, e.expires.Sub(now).Milliseconds())
	}
	return b
}

// Written records the outcome of a write. One that has failed may have been made, or be made later: its
// row is not written again.
func (l *RecordLog) Written(now time.Time, w *RecordsWrite, ok bool) {
	lane := &l.lanes[w.lane]
	lane.writing, l.failing = false, !ok
	current := lane.open == w.row
	if ok && current {
		w.row.writes++
	} else if current {
		lane.open = nil
	}
	for _, key := range w.keys {
		e := l.entries[key]
		if e == nil || e.state != logWriting {
			continue
		}
		if ok && current {
			e.state = logStored
			continue
		}
		e.state, e.retryAt = logFailed, now.Add(writeRetry)
		l.waiting = append(l.waiting, key)
	}
}

// StoreReturned records that the store has returned from an older copy, which may lack what was written
// to it: everything is written again, to other rows.
func (l *RecordLog) StoreReturned() {
	l.waiting = nil
	for i := range l.lanes {
		l.lanes[i].open, l.lanes[i].closed = nil, nil
	}
	for _, key := range l.order {
		if e := l.entries[key]; e != nil {
			e.state, e.retryAt = logPending, time.Time{}
			l.waiting = append(l.waiting, key)
		}
	}
}
