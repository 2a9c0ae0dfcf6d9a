package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// A report of usage can't be taken back, and the store may lose the row with the counts that were
// reported. What keeps a later holder of the duties from reporting others is the memory of the daemons,
// as in a consensus protocol with the epochs of the store as ballots:
//
//   - In one epoch, the counts of a window are those of the first row that was written for it.
//   - A holder reports them once more than half of all daemons have accepted them.
//   - A daemon that has heard of an epoch accepts no counts of earlier ones any more.
//   - A holder writes a row of a window that ended before the epoch began only if more than half of all
//     daemons, each of which was running when the window ended, state that epoch and which counts they
//     have accepted. It writes those of the latest epoch among them.
//
// The two majorities have a daemon in common that has kept its memory in between.

// finalsRetained is the number of most recent windows whose final counts are retained. It covers
// the time within which a window may be reported.
const finalsRetained = 4

const (
	// statementMaxAge is for how long a statement that a daemon has sent itself goes before one that was
	// passed on.
	statementMaxAge = 1500 * time.Millisecond
	// daemonsMemory is for how long the largest number of daemons counts. It is longer than the time
	// within which a window may be reported.
	daemonsMemory = 20 * time.Second
)

// Final is the counts of a window that were stored in an epoch.
type Final struct {
	Epoch  table.Epoch `cbor:"1,keyasint,omitempty"`
	Counts Counts      `cbor:"2,keyasint"`
}

// Accepted states which counts of a window a daemon has accepted.
type Accepted struct {
	Window int64       `cbor:"1,keyasint"`
	Epoch  table.Epoch `cbor:"2,keyasint,omitempty"`
	// Sum stands for the counts.
	Sum uint64 `cbor:"3,keyasint"`
}

// Statement is what a run of a daemon states to others about final counts.
type Statement struct {
	// Daemon is the hash of the name of the daemon, and Run identifies its run.
	Daemon uint64 `cbor:"1,keyasint"`
	Run    uint64 `cbor:"2,keyasint"`
	// UpMillis is how long the run has been able to accept counts.
	UpMillis int64 `cbor:"3,keyasint"`
	// Epoch is the latest epoch of which the daemon has heard. It accepts no counts of earlier ones.
	Epoch table.Epoch `cbor:"4,keyasint,omitempty"`
	// Daemons is the number of daemons that it knows.
	Daemons  int        `cbor:"5,keyasint"`
	Accepted []Accepted `cbor:"6,keyasint,omitempty"`
}

// witness is what is known of another daemon.
type witness struct {
	statement Statement
	// upSince is when its run has begun, heardAt when the statement was received, and changedAt when
	// it first said the same.
	upSince, heardAt, changedAt time.Time
	// direct is set if the daemon itself has sent the statement.
	direct bool
}

// DaemonHash returns the hash that stands for the name of a daemon.
func DaemonHash(node string) uint64 { return xxhash.Sum64String(node) }

// sumOf returns a number that stands for counts.
func sumOf(counts Counts) uint64 {
	digest := xxhash.New()
	for _, account := range slices.Sorted(maps.Keys(counts)) {
		_, _ = digest.WriteString(account)
		n := uint64(counts[account])
		_, _ = digest.Write([]byte{0, byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24), byte(n >> 32), byte(n >> 40), byte(n >> 48), byte(n >> 56)})
	}
	return digest.Sum64()
}

// Started records the begin of this daemon's run, which accepts nothing until it has heard of an epoch
// from the store.
func (c *Core) Started(node string, run uint64) { c.daemon, c.run = DaemonHash(node), run }

// EpochSeen records that the store has answered in an epoch.
func (c *Core) EpochSeen(now time.Time, epoch table.Epoch) {
	if c.storeSeenAt.IsZero() {
		c.storeSeenAt = now
	}
	c.heardOf(now, epoch)
}

// Epoch returns the latest epoch of which this daemon has heard.
func (c *Core) Epoch() table.Epoch { return c.epoch }

func (c *Core) heardOf(now time.Time, epoch table.Epoch) {
	if epoch > c.epoch {
		c.epoch, c.epochAt = epoch, now
	}
}

// SetDaemons records the number of daemons that are known, this one included.
func (c *Core) SetDaemons(now time.Time, n int) {
	if n >= c.daemons || now.Sub(c.daemonsAt) > daemonsMemory {
		c.daemons, c.daemonsAt = n, now
	}
}

// majority returns the least number of daemons that is more than half of all.
func (c *Core) majority() int {
	n := c.daemons
	for _, w := range c.witnesses {
		n = max(n, w.statement.Daemons)
	}
	return n/2 + 1
}

// Statement returns what this daemon states to others.
func (c *Core) Statement(now time.Time) Statement {
	s := Statement{Daemon: c.daemon, Run: c.run, Epoch: c.epoch, Daemons: c.daemons, UpMillis: -1}
	if !c.storeSeenAt.IsZero() {
		s.UpMillis = now.Sub(c.storeSeenAt).Milliseconds()
	}
	for _, window := range c.FinalWindows() {
		f := c.finals[window]
		s.Accepted = append(s.Accepted, Accepted{Window: window, Epoch: f.Epoch, Sum: sumOf(f.Counts)})
	}
	return s
}

// Stated records the statement of another daemon. It is direct if the daemon itself has sent it.
func (c *Core) Stated(now time.Time, s *Statement, direct bool) {
	c.expireWitnesses(now)
	if s.Daemon == c.daemon {
		return
	}
	c.heardOf(now, s.Epoch)
	before := c.witnesses[s.Daemon]
	if before != nil && !direct && before.direct && now.Sub(before.heardAt) < statementMaxAge {
		return
	}
	w := &witness{statement: *s, heardAt: now, changedAt: now, direct: direct, upSince: now.Add(-time.Duration(s.UpMillis) * time.Millisecond)}
	if before != nil && before.statement.Run == s.Run {
		if s.Epoch < before.statement.Epoch {
			// It has been overtaken on the way.
			return
		}
		if s.Epoch == before.statement.Epoch && slices.Equal(s.Accepted, before.statement.Accepted) {
			w.changedAt = before.changedAt
		}
	}
	c.witnesses[s.Daemon] = w
}

// forwardedFor is for how long a changed statement is passed on.
const forwardedFor = 700 * time.Millisecond

// Forwarded returns the statements of daemons that this one has heard itself and that have changed
// lately, to be passed on by a hub to other hubs.
func (c *Core) Forwarded(now time.Time) []Statement {
	var all []Statement
	for _, daemon := range slices.Sorted(maps.Keys(c.witnesses)) {
		if w := c.witnesses[daemon]; w.direct && now.Sub(w.changedAt) < forwardedFor {
			s := w.statement
			s.UpMillis = now.Sub(w.upSince).Milliseconds()
			all = append(all, s)
		}
	}
	return all
}

// Accept accepts counts of a window, unless this daemon has heard of a later epoch or has accepted
// counts of a later one. It returns the counts that it has accepted.
func (c *Core) Accept(now time.Time, window int64, f Final) (Final, bool) {
	known, ok := c.finals[window]
	if ok && known.Epoch >= f.Epoch {
		return known, ok
	}
	if f.Epoch < c.epoch || c.storeSeenAt.IsZero() {
		c.learn(window, f)
		return known, ok
	}
	return c.keep(now, window, f)
}

// learn keeps counts that this daemon does not accept, so that it can propose them.
func (c *Core) learn(window int64, f Final) {
	newest := window
	for known := range c.learned {
		newest = max(newest, known)
	}
	if known, ok := c.learned[window]; window > newest-finalsRetained && (!ok || f.Epoch > known.Epoch) {
		c.learned[window] = f
	}
	maps.DeleteFunc(c.learned, func(known int64, _ Final) bool { return known <= newest-finalsRetained })
}

// keep stores final counts, unless the window is old.
func (c *Core) keep(now time.Time, window int64, f Final) (Final, bool) {
	c.heardOf(now, f.Epoch)
	newest := window
	for known := range c.finals {
		newest = max(newest, known)
	}
	if window <= newest-finalsRetained {
		return Final{}, false
	}
	c.finals[window] = f
	maps.DeleteFunc(c.finals, func(known int64, _ Final) bool { return known <= newest-finalsRetained })
	return f, true
}

// Final returns the accepted counts of a window, if there are any.
func (c *Core) Final(window int64) (Final, bool) {
	f, ok := c.finals[window]
	return f, ok
}

// FinalWindows returns the windows with accepted counts, in order.
func (c *Core) FinalWindows() []int64 { return slices.Sorted(maps.Keys(c.finals)) }

// FinalsFor returns the accepted counts that another daemon lacks, as far as it has stated, or by the
// windows that it knows if it states nothing. The caller must not change them.
func (c *Core) FinalsFor(node string, known []int64) map[int64]Final {
	finals := maps.Clone(c.finals)
	w := c.witnesses[DaemonHash(node)]
	maps.DeleteFunc(finals, func(window int64, f Final) bool {
		if w == nil {
			return slices.Contains(known, window)
		}
		return slices.ContainsFunc(w.statement.Accepted, func(a Accepted) bool { return a.Window == window && a.Epoch >= f.Epoch })
	})
	return finals
}

// Proposal returns the counts of a window that may be stored in an epoch, given when the window has
// ended by this daemon's clock, and false if other counts may have been reported. A row that an earlier
// epoch has left in the store counts as one more statement.
func (c *Core) Proposal(window int64, epoch table.Epoch, endedAt time.Time, row *Final) (Counts, bool) {
	if epoch != c.epoch || c.storeSeenAt.IsZero() {
		return nil, false
	}
	best, known := c.finals[window]
	if known && best.Epoch == epoch {
		return best.Counts, true
	}
	if learned, ok := c.learned[window]; ok && (!known || learned.Epoch > best.Epoch) {
		best, known = learned, true
	}
	if row != nil && (!known || row.Epoch > best.Epoch) {
		best, known = *row, true
	}
	if epoch == 0 || !c.epochAt.IsZero() && !c.epochAt.After(endedAt) {
		// No row of this window was written in an earlier epoch.
		return c.Total(window), true
	}
	remember := 0
	if !c.storeSeenAt.After(endedAt) {
		remember++
	}
	for _, w := range c.witnesses {
		if w.statement.Epoch < epoch {
			continue
		}
		for _, a := range w.statement.Accepted {
			if a.Window == window && (!known || a.Epoch > best.Epoch) {
				// Its counts have not arrived yet.
				return nil, false
			}
		}
		if w.statement.UpMillis >= 0 && !w.upSince.After(endedAt) {
			remember++
		}
	}
	if remember < c.majority() {
		return nil, false
	}
	if known {
		return best.Counts, true
	}
	return c.Total(window), true
}

// Proved reports whether more than half of all daemons have accepted the counts of a window that this
// one has accepted in an epoch.
func (c *Core) Proved(window int64, epoch table.Epoch) bool {
	f, known := c.finals[window]
	if !known || f.Epoch != epoch || c.epoch != epoch {
		return false
	}
	own, accepted := Accepted{Window: window, Epoch: epoch, Sum: sumOf(f.Counts)}, 1
	for _, w := range c.witnesses {
		if slices.Contains(w.statement.Accepted, own) {
			accepted++
		}
	}
	return accepted >= c.majority()
}

// expireWitnesses forgets daemons that have not been heard for long.
func (c *Core) expireWitnesses(now time.Time) {
	maps.DeleteFunc(c.witnesses, func(_ uint64, w *witness) bool { return now.Sub(w.heardAt) > daemonsMemory })
}
