// Package serverspeed estimates how fast each run of a server works relative to the other
// servers of its service. Every daemon samples the servers that its own requests use and
// reports the samples. Daemons that receive the reports of all daemons combine them, and tell
// the resulting estimates to the others. The package does no I/O: callers pass in the time.
//
// Speeds are kept as natural logarithms in hundredths: 0 is the mean of the service, -69 half of
// it and +69 twice. A run is named by a hash of its ID and start, so that a server which starts
// again under its ID is unknown.
package serverspeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
)

const (
	// quantile of the samples of a run is its estimate. Requests that wait behind others, or that
	// meet a short disturbance, seem to show a slow server; the faster samples show its speed
	// whatever its load.
	quantile = 0.9
	// changeQuantile is the quantile that has to move for a change.
	changeQuantile = 0.65
	// fastWindow is the time over which a lasting change of speed is recognized. A disturbance
	// that takes less than changeQuantile of it doesn't move the estimate.
	fastWindow = 1800 * time.Millisecond
	// slowWindow is the time over which the speed is determined as long as it does not change.
	slowWindow = 30 * time.Second
	// refreshInterval is the time between two estimates of a run in services of up to
	// refreshedRuns runs. It grows in proportion with more.
	refreshInterval = 250 * time.Millisecond
	refreshedRuns   = 500
	// smoothedSamples is the number of samples from which on estimates are averaged over time.
	smoothedSamples = 24
	// smoothedRefreshes is the number of estimates over which the estimate is averaged.
	smoothedRefreshes = 24
	// keptSamples is the number of samples kept for a run.
	keptSamples = 64
	// minFastSamples is the number of samples in the fast window below which no change is
	// recognized.
	minFastSamples = 6
	// minSamples is the number of samples below which a run counts as unknown.
	minSamples = 10
	// minChange is the difference between the estimates of the two windows, in hundredths, from
	// which on the speed has changed.
	minChange = 45
	// significance is the least change as a multiple of the standard error.
	significance = 4.0
	// maxDaemonShare bounds the weight of the samples of one daemon, which may have a bad link
	// or report wrong figures. It is less than 1-quantile.
	maxDaemonShare = 0.06
	// minDaemons is the number of daemons from which on maxDaemonShare applies.
	minDaemons = 5
	// priorSamples is the least weight of the prior, in samples. It has more if the samples
	// deviate from one another by more than priorDeviation, in hundredths, by which servers of a
	// service usually differ.
	priorSamples   = 1.0
	priorDeviation = 25.0
	// maxLog bounds samples and estimates, in hundredths: an eighth of the mean speed and 3.3
	// times.
	minLog, maxLog = -208, 120
	// forgetHalfLife is the half-life of an estimate after the last sample, so that servers
	// which were slow are used again.
	forgetHalfLife = 15 * time.Second
	// toldStep is the change of an estimate, in hundredths, from which on it is told again.
	toldStep = 10
	// toldMaxAge is the age of the last statement of another daemon at which its estimates no
	// longer count.
	toldMaxAge = 10 * time.Second
	// maxEntriesPerMessage limits a message to about 3.5 KB of estimates.
	maxEntriesPerMessage = 300
	// maxEarly is the number of estimates kept for runs that this daemon does not know yet.
	maxEarly = 1000
)

// Entry is the estimate for one run as told to other daemons.
type Entry struct {
	_   struct{} `cbor:",toarray"`
	Run uint32
	// Log is the estimate in hundredths; removed entries have Samples 0.
	Log     int
	Samples int
	// Deviation is the standard deviation of the samples in hundredths.
	Deviation int
	// AgeMillis is the time since the last sample.
	AgeMillis int64
}

// Told holds the estimates that a receiver lacks and the changes that they cover.
type Told struct {
	Entries []Entry        `cbor:"1,keyasint,omitempty"`
	Span    changelog.Span `cbor:"2,keyasint"`
}

// Estimate is what is known of the speed of a run.
type Estimate struct {
	// Factor is the speed as a multiple of the mean speed of the service.
	Factor float64
	// Samples is the number of samples behind the estimate; 0 means that it is the prior.
	Samples int
	// Deviation is the standard deviation of the natural logarithm of the samples.
	Deviation float64
	// Age is the time since the last sample.
	Age time.Duration
}

// Core holds the estimates of one daemon. It is not safe for concurrent use.
type Core struct {
	own      reportLog
	runs     map[uint32]*run
	services map[string]*service
	seen     map[string]seenReports
	log      *changelog.Log[uint32]
	// toldAt is when another daemon has last told its estimates, and early those for runs that
	// this daemon does not know yet.
	toldAt time.Time
	early  map[uint32]earlyEntry
}

type service struct {
	runs  map[uint32]*run
	zones map[string]*zone
	// mean is the mean estimate, which counts as zero.
	mean        float64
	refreshedAt time.Time
}

type zone struct {
	sum   float64
	known int
}

type run struct {
	service *service
	zone    string
	// samples is a ring of the newest samples.
	samples []sample
	next    int
	// estimated is the estimate before the mean of the service is deducted, from count samples
	// up to sampledAt; changedAt is when a lasting change was recognized.
	estimated, deviation float64
	// changeLevel is the changeQuantile of the samples.
	changeLevel float64
	// refreshes is the number of estimates since the last change over which estimated is averaged.
	refreshes              int
	count                  int
	sampledAt, refreshedAt time.Time
	changedAt              time.Time
	// told is what this daemon has told last, and heard what another daemon has.
	told    Entry
	heard   Entry
	heardAt time.Time
}

type sample struct {
	at     time.Time
	daemon uint32
	log    int16
}

type seenReports struct{ incarnation, next uint64 }

type earlyEntry struct {
	Entry
	at time.Time
}

// New returns a Core without runs, for a run of a daemon.
func New(daemonRun uint64) *Core {
	return &Core{runs: make(map[uint32]*run), services: make(map[string]*service), seen: make(map[string]seenReports),
		log: changelog.New[uint32](daemonRun), early: make(map[uint32]earlyEntry)}
}

// Join adds a run, of which nothing is known.
func (c *Core) Join(id uint32, serviceName, zoneName string) {
	c.Leave(id)
	s, ok := c.services[serviceName]
	if !ok {
		s = &service{runs: make(map[uint32]*run), zones: make(map[string]*zone)}
		c.services[serviceName] = s
	}
	r := &run{service: s, zone: zoneName}
	c.runs[id], s.runs[id] = r, r
	if e, ok := c.early[id]; ok {
		r.heard, r.heardAt = e.Entry, e.at
		delete(c.early, id)
	}
}

// Leave removes a run.
func (c *Core) Leave(id uint32) {
	r, ok := c.runs[id]
	if !ok {
		return
	}
	delete(c.runs, id)
	delete(r.service.runs, id)
	c.log.Forget(id)
}

// Observed records that this daemon saw a run work at a multiple of the speed that it takes for
// the mean of the service.
func (c *Core) Observed(now time.Time, id uint32, factor float64) {
	if _, ok := c.runs[id]; !ok || factor <= 0 {
		return
	}
	value := toLog(factor)
	c.own.add(now, Sample{Run: id, Log: value})
	c.add(now, id, 0, value)
}

func toLog(factor float64) int {
	return min(max(int(math.Round(100*math.Log(factor))), minLog), maxLog)
}

func (c *Core) add(now time.Time, id, daemon uint32, value int) {
	r, ok := c.runs[id]
	if !ok {
		return
	}
	s := sample{at: now, daemon: daemon, log: int16(value)}
	if len(r.samples) < keptSamples {
		r.samples = append(r.samples, s)
	} else {
		r.samples[r.next] = s
		r.next = (r.next + 1) % keptSamples
	}
	r.sampledAt = now
}

// Estimate returns the estimate for a run. A run that is not known well has that of its zone.
func (c *Core) Estimate(now time.Time, id uint32) Estimate {
	r, ok := c.runs[id]
	if !ok {
		return Estimate{Factor: 1}
	}
	r.refresh(now)
	s := r.service
	s.refresh(now, c.hears(now))
	value, e := r.current(now, s, c.hears(now))
	e.Factor = math.Exp((value - s.mean) / 100)
	return e
}

// hears reports whether another daemon has lately told its estimates.
func (c *Core) hears(now time.Time) bool {
	return !c.toldAt.IsZero() && now.Sub(c.toldAt) < toldMaxAge
}

// current returns the estimate of the run before the mean of the service is deducted: the own
// one, or that of another daemon, which has more samples, combined with the prior.
func (r *run) current(now time.Time, s *service, hears bool) (float64, Estimate) {
	value, samples, deviation, age := r.estimated, r.count, r.deviation, now.Sub(r.sampledAt)
	if hears && r.heard.Samples > 0 {
		value, samples, deviation = float64(r.heard.Log), r.heard.Samples, float64(r.heard.Deviation)
		age = now.Sub(r.heardAt) + time.Duration(r.heard.AgeMillis)*time.Millisecond
	}
	prior := s.prior(r.zone)
	if samples < minSamples {
		return prior, Estimate{}
	}
	weight := float64(samples) / (float64(samples) + max(priorSamples, deviation*deviation/(priorDeviation*priorDeviation)))
	if age > slowWindow {
		weight *= math.Exp2(-float64(age-slowWindow) / float64(forgetHalfLife))
	}
	return prior + weight*(value-prior), Estimate{Samples: samples, Deviation: deviation / 100, Age: age}
}

// prior returns the estimate for runs of a zone of which nothing is known: that of its known runs,
// or the mean of the service as far as there are few.
func (s *service) prior(name string) float64 {
	z, ok := s.zones[name]
	if !ok || z.known == 0 {
		return s.mean
	}
	return s.mean + (z.sum-s.mean*float64(z.known))/(float64(z.known)+priorSamples)
}

// refreshInterval returns the time between two estimates of a run of the service.
func (s *service) refreshInterval() time.Duration {
	return refreshInterval * time.Duration(max(len(s.runs)/refreshedRuns, 1))
}

// refresh determines the mean of the service and of its zones.
func (s *service) refresh(now time.Time, hears bool) {
	if now.Sub(s.refreshedAt) < s.refreshInterval() {
		return
	}
	s.refreshedAt = now
	zones := make(map[string]*zone)
	sum, known := 0.0, 0
	for _, r := range s.runs {
		r.refresh(now)
		value, samples := r.estimated, r.count
		if hears && r.heard.Samples > 0 {
			value, samples = float64(r.heard.Log), r.heard.Samples
		}
		if samples < minSamples {
			continue
		}
		z, ok := zones[r.zone]
		if !ok {
			z = &zone{}
			zones[r.zone] = z
		}
		// The mean speed is that of the arithmetic mean, in which fast servers count more.
		sum += math.Exp(value / 100)
		known++
		z.sum += value
		z.known++
	}
	s.zones, s.mean = zones, 0
	if known > 0 {
		s.mean = 100 * math.Log(sum/float64(known))
	}
}

// refresh determines the estimate of a run from its samples.
func (r *run) refresh(now time.Time) {
	if len(r.samples) == 0 || now.Sub(r.refreshedAt) < r.service.refreshInterval() || !r.sampledAt.After(r.refreshedAt) {
		return
	}
	r.refreshedAt = now
	slowSince := now.Add(-slowWindow)
	if r.changedAt.After(slowSince) {
		slowSince = r.changedAt
	}
	var slow, fast [keptSamples]sample
	slowCount, fastCount := 0, 0
	for _, s := range r.samples {
		if s.at.Before(slowSince) {
			continue
		}
		slow[slowCount] = s
		slowCount++
		if now.Sub(s.at) <= fastWindow {
			fast[fastCount] = s
			fastCount++
		}
	}
	samples := slow[:slowCount]
	value := robustQuantile(samples, quantile)
	if fastCount >= minFastSamples && r.count >= minSamples && r.hasChanged(fast[:fastCount]) {
		// The older part of the window may still show the earlier speed.
		r.changedAt = now.Add(-time.Duration(changeQuantile * float64(fastWindow)))
		r.refreshes = 0
		samples = slices.DeleteFunc(fast[:fastCount], func(s sample) bool { return s.at.Before(r.changedAt) })
		value = robustQuantile(samples, quantile)
	}
	if len(samples) > 0 {
		r.changeLevel = robustQuantile(samples, changeQuantile)
		r.deviation = deviation(samples, r.changeLevel)
		if len(samples) < smoothedSamples {
			r.refreshes = 0
		}
		r.refreshes = min(r.refreshes+1, smoothedRefreshes)
		r.estimated += (value - r.estimated) / float64(r.refreshes)
		r.count = len(samples)
	}
}

// hasChanged reports whether recent samples show a lasting change: more than a disturbance of a
// part of the window explains.
func (r *run) hasChanged(recent []sample) bool {
	needed := max(minChange, significance*r.deviation/math.Sqrt(float64(len(recent))))
	return math.Abs(robustQuantile(recent, changeQuantile)-r.changeLevel) >= needed
}

// robustQuantile returns the quantile of samples in which no daemon has more than maxDaemonShare of
// the weight, if enough daemons have reported.
func robustQuantile(samples []sample, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.log, b.log) })
	var daemons [keptSamples]struct {
		id    uint32
		count float64
	}
	known := 0
	at := func(id uint32) int {
		for i := range known {
			if daemons[i].id == id {
				return i
			}
		}
		daemons[known].id = id
		known++
		return known - 1
	}
	for _, s := range samples {
		daemons[at(s.daemon)].count++
	}
	limit := float64(len(samples))
	if known >= minDaemons {
		most := 0.0
		for i := range known {
			most = max(most, daemons[i].count)
		}
		limit = max((limit-most)*maxDaemonShare/(1-maxDaemonShare), 1)
	}
	weight := func(s sample) float64 {
		count := daemons[at(s.daemon)].count
		return min(count, limit) / count
	}
	total := 0.0
	for _, s := range samples {
		total += weight(s)
	}
	reached := 0.0
	for _, s := range samples {
		reached += weight(s)
		if reached >= q*total {
			return float64(s.log)
		}
	}
	return float64(samples[len(samples)-1].log)
}

func deviation(samples []sample, center float64) float64 {
	sum := 0.0
	for _, s := range samples {
		sum += (float64(s.log) - center) * (float64(s.log) - center)
	}
	return math.Sqrt(sum / float64(max(len(samples), 1)))
}
