package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// The evidence against a version is a sequential test of the odds ratio of bad answers of the
// new version to those of the others in the same time on the same route. Given how many of n
// answers are bad, each is one of the new version with the probability n_new/n if both
// versions are alike; the binomial likelihood ratio against an odds ratio is then an e-value,
// and a conservative one, because draws without replacement vary less (Hoeffding 1963). The
// ratios of successive periods are combined by the Shiryaev-Roberts procedure, which also
// finds a version that turns bad late: the probability that the statistic ever exceeds A within
// T periods is at most T/A if the version is alike (Pollak 1985).

// oddsRatios are the alternatives, which are mixed with equal weights. With the least one, 3,
// a version needs about 1.8 times the odds of the others for the evidence to grow at all.
var oddsRatios = [...]float64{3, 10, 50}

// falseAlarmRate is the probability with which a version that answers like the others is
// found bad within the duration of an order.
const falseAlarmRate = 0.004

// detector holds the logarithms of the Shiryaev-Roberts statistics of one test.
type detector struct{ log [len(oddsRatios)]float64 }

func newDetector() *detector {
	d := &detector{}
	for i := range d.log {
		d.log[i] = math.Inf(-1)
	}
	return d
}

// ratios returns the log likelihood ratios of one period for each of oddsRatios: n answers,
// of which newAnswers were of the new version; bad of them were bad, of which newBad of the new.
func ratios(n, newAnswers, bad, newBad float64) [len(oddsRatios)]float64 {
	var r [len(oddsRatios)]float64
	if newAnswers == 0 || n == 0 {
		return r
	}
	share := newAnswers / n
	for i, odds := range oddsRatios {
		r[i] = newBad*math.Log(odds) - bad*math.Log(1-share+share*odds)
	}
	return r
}

func (d *detector) update(r [len(oddsRatios)]float64) {
	for i := range d.log {
		d.log[i] = addLogs(d.log[i], 0) + r[i]
	}
}

// evidence returns the logarithm of the mean statistic.
func (d *detector) evidence() float64 {
	sum := math.Inf(-1)
	for _, l := range d.log {
		sum = addLogs(sum, l)
	}
	return sum - math.Log(float64(len(d.log)))
}

// addLogs returns the logarithm of the sum of two numbers given by their logarithms.
func addLogs(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// test identifies a detector: the route, or empty for all routes together, and what is counted.
type test struct {
	route string
	kind  int
}

// Kinds of tests: failures, and answers slower than each of slowFactors.
const (
	kindFailed = 0
	kinds      = 1 + slowClasses
)

func (t test) String() string {
	what := "failures"
	if t.kind != kindFailed {
		what = fmt.Sprintf("answers slower than %g times the expected time", slowFactors[t.kind-1])
	}
	if t.route == "" {
		return what + " on all routes"
	}
	return what + " on route " + t.route
}

// counted returns the number of answers of a cell that a kind of test counts.
func (c *Cell) counted(kind int) float64 {
	if kind == kindFailed {
		return float64(c.Failed)
	}
	return float64(c.Slow[kind-1])
}

// evidence holds the tests of one roll-out.
type evidence struct {
	detectors map[test]*detector
	last      map[cellKey]Cell
	// reference holds the answers of the other versions in recent periods, by route.
	reference map[string][]Cell
	periods   int
	// pairs is how many answers of the new version could be compared.
	compared float64
}

func newEvidence() *evidence {
	return &evidence{detectors: make(map[test]*detector), last: make(map[cellKey]Cell), reference: make(map[string][]Cell)}
}

// referencePeriods is how many periods of the other versions' answers are used when they have
// given few in the same period, as when all new requests go to the new version.
const referencePeriods = 10

// minReference is the least number of answers of the other versions, per answer of the new
// one, that makes a period its own reference.
const minReference = 1.0

// observe applies the answers since the last call. A server of the new version that has given
// most of the version's bad answers is left out: a single bad server is no evidence against its
// version. That it is selected by the answers of this period too can only weaken the evidence.
func (e *evidence) observe(s *Sum) {
	worst := worstServer(s)
	fresh := make(map[string]*Cell)
	others := make(map[string]*Cell)
	var routes []string
	for key, c := range s.cells {
		before := e.last[key]
		d := c.minus(&before)
		e.last[key] = *c
		if d.Answered == 0 || key.server != "" && key.server == worst {
			continue
		}
		into := fresh
		if key.server == "" {
			into = others
		}
		sum, ok := into[key.route]
		if !ok {
			sum = &Cell{Route: key.route}
			into[key.route] = sum
		}
		sum.add(&d)
		if !slices.Contains(routes, key.route) {
			routes = append(routes, key.route)
		}
	}
	slices.Sort(routes)
	var pooled [kinds][len(oddsRatios)]float64
	tested := false
	for _, route := range routes {
		old, new := e.referenceFor(route, others[route], fresh[route]), fresh[route]
		if new == nil || old.Answered == 0 {
			continue
		}
		tested = true
		e.compared += float64(new.Answered)
		for kind := range kinds {
			r := ratios(float64(old.Answered+new.Answered), float64(new.Answered), old.counted(kind)+new.counted(kind), new.counted(kind))
			e.detector(test{route, kind}).update(r)
			for i := range r {
				pooled[kind][i] += r[i]
			}
		}
	}
	if !tested {
		return
	}
	e.periods++
	for kind := range kinds {
		e.detector(test{"", kind}).update(pooled[kind])
	}
}

// referenceFor returns the answers of the other versions to compare with those of the new one.
func (e *evidence) referenceFor(route string, others, fresh *Cell) *Cell {
	current := &Cell{Route: route}
	if others != nil {
		current = others
	}
	recent := e.reference[route]
	if fresh != nil && float64(current.Answered) < minReference*float64(fresh.Answered) {
		sum := *current
		for i := range recent {
			sum.add(&recent[i])
		}
		return &sum
	}
	if current.Answered > 0 {
		recent = append(recent, *current)
		e.reference[route] = recent[max(len(recent)-referencePeriods, 0):]
	}
	return current
}

func (e *evidence) detector(t test) *detector {
	d, ok := e.detectors[t]
	if !ok {
		d = newDetector()
		e.detectors[t] = d
	}
	return d
}

// worstServer returns the server of the new version that has given more bad answers than all
// others together, or an empty ID if there is none or no other server has answered.
func worstServer(s *Sum) string {
	bad, answered := make(map[string]uint64), 0
	for key, c := range s.cells {
		if key.server == "" || key.server == otherServers || c.Answered == 0 {
			continue
		}
		if _, ok := bad[key.server]; !ok {
			answered++
		}
		bad[key.server] += c.bad()
	}
	if answered < 2 {
		return ""
	}
	total := uint64(0)
	for _, n := range bad {
		total += n
	}
	for server, n := range bad {
		if n > 1 && 2*n > total {
			return server
		}
	}
	return ""
}

// strongest returns the test with the strongest evidence and the logarithm of its statistic.
func (e *evidence) strongest() (test, float64) {
	best, strength := test{}, math.Inf(-1)
	for t, d := range e.detectors {
		if v := d.evidence(); v > strength || v == strength && strings.Compare(t.route, best.route) < 0 {
			best, strength = t, v
		}
	}
	return best, strength
}

// threshold returns the logarithm of the statistic from which on a version is found bad, for a
// number of periods in which it is looked at.
func (e *evidence) threshold(periods int) float64 {
	return math.Log(float64(max(periods, 1)*max(len(e.detectors), 1)) / falseAlarmRate)
}
