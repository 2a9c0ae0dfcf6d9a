package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/pkg/enginecost"
	"github.com/monsooncrank/monsooncrank/pkg/serverspeed"
)

const (
	// minSpeedSampleTokens is the number of uncached prompt tokens below which the time to the
	// first event says little about the speed of an engine.
	minSpeedSampleTokens = 1500
	// defaultTokenTime is the assumed time in which an engine generates a token of one request
	// until it has been measured.
	defaultTokenTime = 5 * time.Millisecond
	// maxTokenTime bounds the measured time for a token: requests wait in the middle of their
	// stream when they are preempted.
	maxTokenTime = 100 * time.Millisecond
)

// runHash returns the hash that names a run of a server in messages about speeds.
func runHash(run string) uint32 { return uint32(xxhash.Sum64String(run)) }

// updateSpeed determines the speed of a server and returns it, as a multiple of the mean speed
// of its service. Plain servers all count as equally fast.
func (c *Core) updateSpeed(now time.Time, s *server) float64 {
	if s.service.kvCapacity > 0 {
		s.speed = c.speeds.Estimate(now, s.run).Factor
	}
	return s.speed
}

// observeSpeed records the time to the first event as a sample of the speed of an engine. Requests
// that were queued before it are left out: what is known of them is old, and the faster samples,
// which count, are those of requests that did not wait.
func (c *Core) observeSpeed(now time.Time, a *attempt, took time.Duration) {
	if a.plain || a.uncachedTokens < minSpeedSampleTokens || a.queuedPrefillTokens > a.uncachedTokens {
		return
	}
	expected := float64(a.uncachedTokens)/c.options.PrefillRate + float64(baseWait)/float64(time.Millisecond)
	c.speeds.Observed(now, a.server.run, expected/math.Max(float64(took)/float64(time.Millisecond), 1))
}

// observeTokenTime records the time in which a complete answer was generated.
func (a *attempt) observeTokenTime(now time.Time) {
	if !a.firstEventSeen || a.outputTokens == 0 {
		return
	}
	s := a.server
	perToken := min(time.Duration(float64(now.Sub(a.firstEventAt))*s.speed)/time.Duration(a.outputTokens), maxTokenTime)
	s.service.tokenTime += time.Duration(sampleWeight * float64(perToken-s.service.tokenTime))
}

// Speed returns the estimated speed of a server, or that of its service if it is not known.
func (c *Core) Speed(now time.Time, service, server string) enginecost.Speed {
	s := c.service(service)
	factor := 1.0
	if o, ok := c.servers[server]; ok && o.service == s {
		factor = c.updateSpeed(now, o)
	}
	batch := float64(max(s.slots, 1))
	return enginecost.Speed{PrefillTokensPerMilli: s.prefillRate * factor,
		DecodeTokensPerMilli: batch * factor * float64(time.Millisecond) / float64(max(s.tokenTime, time.Microsecond))}
}

// SpeedReports returns the recent samples of this daemon for daemons that collect those of all.
func (c *Core) SpeedReports(now time.Time) *serverspeed.Reports { return c.speeds.Reports(now) }

// ApplySpeedReports applies the samples of a peer.
func (c *Core) ApplySpeedReports(now time.Time, peer string, incarnation uint64, r *serverspeed.Reports) {
	c.speeds.Report(now, peer, incarnation, r)
}

// SpeedsFor returns the estimates that another daemon lacks.
func (c *Core) SpeedsFor(now time.Time, daemon string, acknowledged changelog.Position) *serverspeed.Told {
	return c.speeds.Told(now, daemon, acknowledged)
}

// ApplySpeeds applies the estimates that another daemon tells and returns how far its changes
// have been received.
func (c *Core) ApplySpeeds(now time.Time, received changelog.Position, told *serverspeed.Told) changelog.Position {
	return c.speeds.Hear(now, received, told)
}

// ServerSpeed is what is known of the speed of a server, for operators.
type ServerSpeed struct {
	Server  string
	Zone    string
	Service string
	serverspeed.Estimate
}

// ServerSpeeds returns the speeds of all engines.
func (c *Core) ServerSpeeds(now time.Time) []ServerSpeed {
	var list []ServerSpeed
	for _, s := range c.servers {
		if s.service.kvCapacity > 0 {
			list = append(list, ServerSpeed{Server: s.ID, Zone: s.AvailabilityZone, Service: s.Service, Estimate: c.speeds.Estimate(now, s.run)})
		}
	}
	return list
}
