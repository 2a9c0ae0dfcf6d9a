package placement

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxShortWork is the fraction of the prefill work of a service that may go first. Prompts
	// that wait for it start later by at most a tenth while engines prefill for two thirds of
	// their time.
	maxShortWork = 0.15
	// minSizeRatio is the least ratio between a prompt of usual work and the longest one that
	// goes first. Among prompts of similar size the order does not matter.
	minSizeRatio = 4
	// mixWindows is the number of windows of mixWindow for which prompts are remembered, and
	// minMixPrompts the number of prompts from which on they tell how sizes are distributed.
	mixWindows    = 4
	mixWindow     = 5 * time.Second
	minMixPrompts = 40
	// limitInterval is the time between two determinations of the limit.
	limitInterval = 1500 * time.Millisecond
	// maxMixTokens bounds the recorded size of a prompt.
	maxMixTokens = 1 << 20
	// mixDigits is the number of significant digits of recorded sizes; sizes that differ by
	// less than one in mixResolution may not be told apart.
	mixDigits     = 2
	mixResolution = 64
)

// promptMix tells which prompts of a service are so short, by the tokens that are left to
// prefill, that engines may prefill them before others at little cost to those.
type promptMix struct {
	// work holds the sizes of recent prompts, each weighted by itself.
	work      *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	// prompts counts the prompts of each window, the current one first.
	prompts [mixWindows]int
	// limit is the size below which prompts are short as of limitAt, or 0 if sizes do not
	// differ enough or are not known.
	limit   int
	limitAt time.Time
}

func newPromptMix() *promptMix {
	return &promptMix{work: hdrhistogram.NewWindowed(mixWindows, 1, maxMixTokens, mixDigits)}
}

// add records a prompt of which a number of tokens has to be prefilled.
func (m *promptMix) add(now time.Time, tokens int) {
	m.refresh(now)
	if tokens <= 0 {
		return
	}
	tokens = min(tokens, maxMixTokens)
	// Sizes up to maxMixTokens are within the range of the histogram.
	_ = m.work.Current.RecordValues(int64(tokens), int64(tokens))
	m.prompts[0]++
}

// isShort reports whether a prompt of which a number of tokens has to be prefilled is short.
func (m *promptMix) isShort(now time.Time, tokens int) bool {
	m.refresh(now)
	return tokens < m.limit
}

// refresh begins a new window when the current one has ended, and determines the limit anew
// when that is due.
func (m *promptMix) refresh(now time.Time) {
	if m.rotatedAt.IsZero() {
		m.rotatedAt, m.limitAt = now, now
	}
	if now.Sub(m.limitAt) < limitInterval {
		return
	}
	m.limitAt = now
	ended := min(int(now.Sub(m.rotatedAt)/mixWindow), mixWindows)
	for range ended {
		m.work.Rotate()
		copy(m.prompts[1:], m.prompts[:mixWindows-1])
		m.prompts[0] = 0
	}
	if ended > 0 {
		m.rotatedAt = now
	}
	m.limit = m.shortLimit()
}

// shortLimit returns the size below which prompts are short, or 0 if there is none.
func (m *promptMix) shortLimit() int {
	prompts := 0
	for _, n := range m.prompts {
		prompts += n
	}
	if prompts < minMixPrompts {
		return 0
	}
	work := m.work.Merge()
	// Prompts of the size at which the fraction is reached are not short: they may be most.
	reached := work.ValueAtQuantile(100 * maxShortWork)
	return int(min(reached-reached/mixResolution, work.ValueAtQuantile(50)/minSizeRatio))
}

// maxShortUtilization is the part of an engine's slots and KV cache up to which short prompts go
// first there. Priorities also decide which requests an engine preempts when it has no room.
const maxShortUtilization = 0.8

// order returns when a server should prefill the prompt of a request. A request that does not
// state the size of its prompt is never first.
func (c *Core) order(now time.Time, q *Query, d *Decision) PromptOrder {
	s := c.servers[d.Server.ID]
	switch uncached := q.PromptTokens - d.CachedTokens; {
	case s.service.kvCapacity == 0:
		return OrderByRank
	case q.PromptTokens <= 0 || !s.service.mix.isShort(now, uncached) || s.utilization(s.totalLoad(), uncached+q.OutputTokens) > maxShortUtilization:
		return OrderAfterShort
	default:
		return OrderFirst
	}
}

// AdoptShortPromptLimits takes over the limits that a daemon with the placements of all has
// learned. It has heard of all prompts, this daemon of its own and of few others.
func (c *Core) AdoptShortPromptLimits(now time.Time, limits map[string]int) {
	for name, limit := range limits {
		m := c.service(name).mix
		m.refresh(now)
		m.limit, m.limitAt = limit, now
	}
}

// ShortPromptLimits returns, for each service with engines, the number of tokens left to
// prefill below which a prompt goes first, or 0 if there is no such limit.
func (c *Core) ShortPromptLimits() map[string]int {
	limits := make(map[string]int)
	for name, s := range c.services {
		if s.kvCapacity > 0 {
			limits[name] = s.mix.limit
		}
	}
	return limits
}
