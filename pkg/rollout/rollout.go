// Package rollout moves the traffic of a service to a new software version, and back if the
// version is bad. The holder of the duties decides from the answers that all daemons count
// (Decider); every daemon applies the decisions to its own requests (Follower). The package
// does no I/O. docs/design/rollouts.md describes the design.
package rollout

import (
	"fmt"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Bounds limits what a bad version may get. Roll-outs are handled only if MaxShare is set.
type Bounds struct {
	// MaxShare is the fraction of the requests of a service, from the order to its deadline,
	// that a bad version may get, and Slack the number of requests beyond it.
	MaxShare float64
	Slack    float64
	// StopTime is how long after its 50th bad answer a version may still get requests.
	StopTime time.Duration
}

// Enabled reports whether roll-outs are handled.
func (b Bounds) Enabled() bool { return b.MaxShare > 0 }

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string `cbor:"1,keyasint"`
	To      string `cbor:"2,keyasint"`
	// Revision is the store's version of the order. A later order has a higher one.
	Revision table.Version `cbor:"3,keyasint"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `cbor:"4,keyasint"`
}

// replaces reports whether an order replaces another one for its service. The same order under a
// version of a later epoch is the earlier one, which the operator has written again after the store
// returned from an older copy: it keeps its revision.
func (o Order) replaces(known Order) bool {
	if o.Revision.Epoch() != known.Revision.Epoch() && o.To == known.To && o.Duration == known.Duration {
		return o.Revision < known.Revision
	}
	return o.Revision > known.Revision
}

// State is the state of a roll-out.
type State int

// States of a roll-out. Completed and RolledBack are final for an order.
const (
	Running State = iota
	Completed
	RolledBack
)

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	}
	return fmt.Sprintf("state %d", int(s))
}

// Directive is what the decider tells all daemons. A directive that is not final holds only
// for a short time: a daemon that hears of no further one sends the new version nothing more.
type Directive struct {
	// Term is the fencing number of the decider and Sequence increases within a term.
	Term     uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	State    State  `cbor:"3,keyasint,omitempty"`
	// Share is the fraction of the new requests of each route for the new version.
	Share float64 `cbor:"4,keyasint,omitempty"`
	// Servers is how many servers of the new version get that share.
	Servers int `cbor:"5,keyasint,omitempty"`
	// ShiftIn and ShiftFor, if ShiftFor is not 0, announce the period in which the new
	// version gets all new requests. Like ValidFor they count from the issue.
	ShiftIn  time.Duration `cbor:"6,keyasint,omitempty"`
	ShiftFor time.Duration `cbor:"7,keyasint,omitempty"`
	ValidFor time.Duration `cbor:"8,keyasint,omitempty"`
	// Cleared is the excess of bad answers that the decider has weighed and let pass.
	Cleared int `cbor:"9,keyasint,omitempty"`
	// Denied holds versions of earlier orders that were not completed.
	Denied []string `cbor:"10,keyasint,omitempty"`
	// RouteShares holds the shares of routes with another share than the others: rare routes
	// get a larger one, so that a version which is bad there shows it.
	RouteShares map[string]float64 `cbor:"11,keyasint,omitempty"`
}

// shareOf returns the fraction of the new requests of a route for the new version.
func (d *Directive) shareOf(route string) float64 {
	if share, ok := d.RouteShares[route]; ok {
		return share
	}
	return d.Share
}

// isNewerThan reports whether a directive replaces another one of the same order.
func (d *Directive) isNewerThan(o *Directive) bool {
	if (d.State != Running) != (o.State != Running) {
		return d.State != Running
	}
	return d.Term > o.Term || d.Term == o.Term && d.Sequence > o.Sequence
}

// Entry is what daemons tell one another of a service's roll-out.
type Entry struct {
	Order     Order     `cbor:"1,keyasint"`
	Directive Directive `cbor:"2,keyasint"`
	// Age is the time since the issue of the directive as far as the sender knows, or
	// negative if it has none that is not final.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Thresholds of slowness: the multiples of the expected time from which on an answer counts.
var slowFactors = [slowClasses]float64{2.5, 4, 8}

const (
	slowClasses = 3
	// badSlowClass is the class from which on a slow answer counts as bad.
	badSlowClass = 1
	// minExpectedTime is the least time that an answer is compared with.
	minExpectedTime = 20 * time.Millisecond
)

// Cell counts answers of one route: those of a server of the new version or, with an empty
// server, those of all other versions.
type Cell struct {
	Route    string `cbor:"1,keyasint"`
	Server   string `cbor:"2,keyasint,omitempty"`
	Answered uint64 `cbor:"3,keyasint"`
	Failed   uint64 `cbor:"4,keyasint,omitempty"`
	// Slow counts the answers that took longer than each of slowFactors.
	Slow [slowClasses]uint64 `cbor:"5,keyasint"`
}

// otherServers stands for the servers of the new version outside the first few, so that the
// number of cells is bounded.
const otherServers = "*"

func (c *Cell) add(o *Cell) {
	c.Answered += o.Answered
	c.Failed += o.Failed
	for i := range c.Slow {
		c.Slow[i] += o.Slow[i]
	}
}

// minus returns the difference to an earlier state of the cell.
func (c *Cell) minus(o *Cell) Cell {
	d := *c
	d.Answered -= o.Answered
	d.Failed -= o.Failed
	for i := range d.Slow {
		d.Slow[i] -= o.Slow[i]
	}
	return d
}

// bad returns the number of bad answers.
func (c *Cell) bad() uint64 { return c.Failed + c.Slow[badSlowClass] }

// Counts is what one daemon has counted since it learned of an order.
type Counts struct {
	// Order is the revision of the order.
	Order table.Version `cbor:"1,keyasint"`
	// Sent counts the attempts at servers of the service and SentNew those at servers of
	// the new version.
	Sent    uint64 `cbor:"2,keyasint"`
	SentNew uint64 `cbor:"3,keyasint"`
	Cells   []Cell `cbor:"4,keyasint,omitempty"`
}

// cellKey identifies a cell.
type cellKey struct{ route, server string }

// Sum holds the counts of all daemons for an order.
type Sum struct {
	Order         table.Version
	Sent, SentNew uint64
	cells         map[cellKey]*Cell
}

func newSum(order table.Version) *Sum { return &Sum{Order: order, cells: make(map[cellKey]*Cell)} }

func (s *Sum) cell(route, server string) *Cell {
	key := cellKey{route, server}
	c, ok := s.cells[key]
	if !ok {
		c = &Cell{Route: route, Server: server}
		s.cells[key] = c
	}
	return c
}

// add adds what a daemon has counted since an earlier report, which may be nil.
func (s *Sum) add(c, earlier *Counts) {
	before := make(map[cellKey]*Cell)
	if earlier != nil {
		s.Sent -= earlier.Sent
		s.SentNew -= earlier.SentNew
		for i := range earlier.Cells {
			e := &earlier.Cells[i]
			before[cellKey{e.Route, e.Server}] = e
		}
	}
	s.Sent += c.Sent
	s.SentNew += c.SentNew
	for i := range c.Cells {
		n := c.Cells[i]
		if e, ok := before[cellKey{n.Route, n.Server}]; ok {
			n = n.minus(e)
		}
		s.cell(n.Route, n.Server).add(&n)
	}
}

// Answers returns how many answers the new version and the others have given, and how many of
// them were bad.
func (s *Sum) Answers() (answered, bad, answeredOthers, badOthers uint64) {
	for key, c := range s.cells {
		if key.server == "" {
			answeredOthers, badOthers = answeredOthers+c.Answered, badOthers+c.bad()
		} else {
			answered, bad = answered+c.Answered, bad+c.bad()
		}
	}
	return answered, bad, answeredOthers, badOthers
}

// excessAllowance is the multiple of the bad answers of the other versions that a version may
// give before they count as an excess.
const excessAllowance = 1.5

// Excess returns how many bad answers of the new version exceed those that the other versions
// give on the same routes.
func (s *Sum) Excess() int {
	expected, bad := 0.0, 0.0
	for key, c := range s.cells {
		if key.server == "" {
			continue
		}
		bad += float64(c.bad())
		if o, ok := s.cells[cellKey{key.route, ""}]; ok && o.Answered > 0 {
			expected += float64(c.Answered) * min(float64(o.bad())/float64(o.Answered), 1)
		}
	}
	return int(bad - excessAllowance*expected)
}

// Totals sums what all daemons have counted. It is not safe for concurrent use.
type Totals struct {
	reports map[string]report
	sums    map[string]*Sum
}

// report is the last report of a daemon.
type report struct {
	incarnation uint64
	counts      map[string]Counts
}

// NewTotals returns empty Totals.
func NewTotals() *Totals {
	return &Totals{reports: make(map[string]report), sums: make(map[string]*Sum)}
}

// Set applies the counts of a run of a daemon, by service. What its earlier runs have counted
// stays in the sums.
func (t *Totals) Set(node string, incarnation uint64, counts map[string]Counts) {
	last := t.reports[node]
	if incarnation < last.incarnation {
		return
	}
	for service, c := range counts {
		sum, ok := t.sums[service]
		if !ok || c.Order > sum.Order {
			sum = newSum(c.Order)
			t.sums[service] = sum
		}
		if c.Order < sum.Order {
			continue
		}
		var earlier *Counts
		if e, ok := last.counts[service]; ok && last.incarnation == incarnation && e.Order == c.Order {
			earlier = &e
		}
		sum.add(&c, earlier)
	}
	t.reports[node] = report{incarnation: incarnation, counts: counts}
}

// Sum returns the sum of all counts for an order; it is nil if there are none.
func (t *Totals) Sum(service string, order table.Version) *Sum {
	if s, ok := t.sums[service]; ok && s.Order == order {
		return s
	}
	return nil
}

// Excess returns the excess of bad answers of each service's order.
func (t *Totals) Excess() map[string]Excess {
	if len(t.sums) == 0 {
		return nil
	}
	all := make(map[string]Excess, len(t.sums))
	for service, s := range t.sums {
		all[service] = Excess{Order: s.Order, Bad: s.Excess()}
	}
	return all
}

// Excess is the number of bad answers of a new version beyond those of the others.
type Excess struct {
	Order table.Version `cbor:"1,keyasint"`
	Bad   int           `cbor:"2,keyasint,omitempty"`
}
