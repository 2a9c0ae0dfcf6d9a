package scaling

import (
	"math"
	"time"
)

// Forecast estimates how likely reclaimable servers are to be lost. Their supply is either
// plentiful or scarce. While it is scarce, zones are reclaimed one after the other and orders are
// refused. Neither the state nor the rate of reclaims is visible: the forecast keeps the
// probability of each. A notice or a refusal in one zone raises the expected loss of all others,
// and since the rate is uncertain, the losses of zones are correlated.
type Forecast struct {
	// scarce is the probability that supply is scarce and zones are reclaimed at each of
	// reclaimRates; the rest is the probability that it is plentiful.
	scarce [len(reclaimRates)]float64
	// usual is the distribution of the rates as learned, with which scarcity begins.
	usual     [len(reclaimRates)]float64
	updatedAt time.Time
	// begins counts the beginnings of scarcity within observed seconds.
	begins, observed float64
	// refusedAt and acceptedAt are when answers to orders last counted.
	refusedAt, acceptedAt time.Time
	// lastEvidence is the newest event that raised the probability, for the log.
	lastEvidence Evidence
}

// Evidence is a kind of event that raises the forecast of loss.
type Evidence string

// Kinds of evidence.
const (
	EvidenceNone    Evidence = "none"
	EvidenceNotice  Evidence = "reclaim"
	EvidenceRefusal Evidence = "refusal"
)

// reclaimRates are the rates, per second, at which each zone may be reclaimed while supply is
// scarce.
var reclaimRates = [...]float64{1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2}

const (
	// calmReclaimRate is the rate at which a single zone is reclaimed while supply is plentiful,
	// per second.
	calmReclaimRate = 1.0 / 600
	// scarcityDuration is the mean duration of scarcity.
	scarcityDuration = 15 * time.Second
	// independentZones is the number of zones above which zones are assumed to be reclaimed in
	// groups: a calm second at many zones says little more than one at a few.
	independentZones = 4
	// priorBegins and priorObserved, in seconds, are assumed observations of how often scarcity
	// begins.
	priorBegins   = 1.0
	priorObserved = 120.0
	// refusedWhenScarce and refusedWhenPlentiful are the probabilities that an order for
	// reclaimable servers is refused.
	refusedWhenScarce    = 0.98
	refusedWhenPlentiful = 0.05
	// answerInterval is the time in which equal answers of several zones count as one, as they
	// have one cause.
	answerInterval = time.Second
	// learningTime is the time of scarcity in which the usual rates follow those observed.
	learningTime = time.Minute
	// observationHalfLife is the time in which observations lose half of their weight.
	observationHalfLife = 10 * time.Minute
	// maxObservedGap bounds the time that one update counts as observed. After hours without an
	// update, the likelihoods of all states would be 0.
	maxObservedGap = time.Minute
	// minScarce and maxScarce bound the probability, so that new evidence can always change it.
	minScarce = 0.02
	maxScarce = 0.995
)

// newForecast returns a forecast without observations.
func newForecast() *Forecast {
	f := &Forecast{lastEvidence: EvidenceNone}
	for i := range f.usual {
		f.usual[i] = 1 / float64(len(f.usual))
	}
	f.setScarce(f.beginRate() / (f.beginRate() + 1/scarcityDuration.Seconds()))
	return f
}

// beginRate returns how often scarcity begins, per second.
func (f *Forecast) beginRate() float64 {
	return (priorBegins + f.begins) / (priorObserved + f.observed)
}

// Scarce returns the probability that the supply of reclaimable servers is scarce.
func (f *Forecast) Scarce() float64 {
	sum := 0.0
	for _, p := range f.scarce {
		sum += p
	}
	return sum
}

// setScarce sets the probability of scarcity, within its bounds, and keeps the proportions of
// the rates.
func (f *Forecast) setScarce(p float64) {
	p = math.Min(math.Max(p, minScarce), maxScarce)
	sum := f.Scarce()
	for i := range f.scarce {
		if sum > 0 {
			f.scarce[i] *= p / sum
		} else {
			f.scarce[i] = p * f.usual[i]
		}
	}
}

// update applies an observation whose likelihood is given for each rate and for plentiful supply.
func (f *Forecast) update(likelihood func(rate float64) float64, plentiful float64) {
	before := f.Scarce()
	total := (1 - before) * plentiful
	for i, rate := range reclaimRates {
		f.scarce[i] *= likelihood(rate)
		total += f.scarce[i]
	}
	for i := range f.scarce {
		f.scarce[i] /= total
	}
	f.setScarce(f.Scarce())
	if before < 0.5 && f.Scarce() >= 0.5 {
		f.begins++
	}
}

// Advance applies the time since the last update, during which the given number of zones had
// reclaimable servers.
func (f *Forecast) Advance(now time.Time, zones int) {
	if f.updatedAt.IsZero() || now.Before(f.updatedAt) {
		f.updatedAt = now
		return
	}
	elapsed := now.Sub(f.updatedAt).Seconds()
	f.updatedAt = now
	kept := math.Exp2(-elapsed / observationHalfLife.Seconds())
	f.begins, f.observed = f.begins*kept, f.observed*kept
	elapsed = math.Min(elapsed, maxObservedGap.Seconds())
	scarce := f.Scarce()
	f.observed += (1 - scarce) * elapsed
	// That no zone was reclaimed meanwhile speaks against scarcity.
	zoneSeconds := float64(min(zones, independentZones)) * elapsed
	f.update(func(rate float64) float64 { return math.Exp(-rate * zoneSeconds) }, math.Exp(-calmReclaimRate*zoneSeconds))
	scarce = f.Scarce()
	begins, ends := f.beginRate(), 1/scarcityDuration.Seconds()
	lasting := math.Exp(-elapsed * ends)
	after := begins/(begins+ends) + (scarce-begins/(begins+ends))*math.Exp(-elapsed*(begins+ends))
	begun := math.Max(after-scarce*lasting, 0)
	learned := scarce * elapsed / learningTime.Seconds()
	for i := range f.scarce {
		f.usual[i] += math.Min(learned, 1) * (f.scarce[i]/scarce - f.usual[i])
		f.usual[i] += (1 - kept) * (1/float64(len(f.usual)) - f.usual[i])
		f.scarce[i] = f.scarce[i]*lasting + begun*f.usual[i]
	}
	f.setScarce(f.Scarce())
}

// Reclaimed records that zones are being reclaimed. Those that are reclaimed at the same moment
// count as one event.
func (f *Forecast) Reclaimed() {
	f.lastEvidence = EvidenceNotice
	f.update(func(rate float64) float64 { return rate }, calmReclaimRate)
}

// Refused records that a zone had no reclaimable servers to offer.
func (f *Forecast) Refused(now time.Time) {
	f.lastEvidence = EvidenceRefusal
	if now.Sub(f.refusedAt) >= answerInterval {
		f.refusedAt = now
		f.update(func(float64) float64 { return refusedWhenScarce }, refusedWhenPlentiful)
	}
}

// Accepted records that a zone accepted an order for more reclaimable servers.
func (f *Forecast) Accepted(now time.Time) {
	if now.Sub(f.acceptedAt) >= answerInterval {
		f.acceptedAt = now
		f.update(func(float64) float64 { return 1 - refusedWhenScarce }, 1-refusedWhenPlentiful)
	}
}

// lossCase is one case of the future: its probability, and that of the loss of each zone.
type lossCase struct {
	probability, zoneLoss float64
}

// cases returns the possible losses within a time.
func (f *Forecast) cases(within time.Duration) []lossCase {
	cases := []lossCase{{probability: 1 - f.Scarce(), zoneLoss: 1 - math.Exp(-calmReclaimRate*within.Seconds())}}
	for i, rate := range reclaimRates {
		cases = append(cases, lossCase{probability: f.scarce[i], zoneLoss: 1 - math.Exp(-rate*within.Seconds())})
	}
	return cases
}

// ForecastState is what a later lease holder needs of a forecast.
type ForecastState struct {
	// Scarce and Usual are the probabilities of the rates, slowest first.
	Scarce   []float64 `json:"scarce"`
	Usual    []float64 `json:"usual"`
	Begins   float64   `json:"begins"`
	Observed float64   `json:"observedS"`
}

// Probability returns the probability that supply is scarce.
func (s *ForecastState) Probability() float64 {
	sum := 0.0
	for _, p := range s.Scarce {
		sum += p
	}
	return sum
}

// State returns what a later lease holder needs.
func (f *Forecast) State() ForecastState {
	scarce, usual := f.scarce, f.usual
	return ForecastState{Scarce: scarce[:], Usual: usual[:], Begins: f.begins, Observed: f.observed}
}

// restore continues a forecast that was stored the given time ago. A state that no forecast can
// have is ignored.
func (f *Forecast) restore(now time.Time, s ForecastState, age time.Duration) {
	valid := len(s.Scarce) == len(f.scarce) && len(s.Usual) == len(f.usual) && s.Begins >= 0 && s.Observed >= 0
	for _, p := range append(append([]float64(nil), s.Scarce...), s.Usual...) {
		valid = valid && p >= 0 && p <= 1
	}
	if !valid {
		return
	}
	copy(f.scarce[:], s.Scarce)
	copy(f.usual[:], s.Usual)
	f.begins, f.observed = s.Begins, s.Observed
	f.setScarce(f.Scarce())
	f.updatedAt = now.Add(-max(age, 0))
	f.Advance(now, 0)
}
