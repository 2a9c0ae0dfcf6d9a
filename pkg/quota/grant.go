package quota

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// With dozens of daemons a single request costs more than what one of them may spend of an
// account before the others hear of it. One daemon for each account, which receives the
// totals of all, then grants such requests one by one. The others spend by themselves only
// what all of them together may spend beyond the limit.

// grantFreeShare is the fraction of the tolerated excess over a limit that the daemons may
// spend together without a grant before they hear of one another.
const grantFreeShare = 0.5

// Verdict says what is to be done with a request.
type Verdict int

// Verdicts.
const (
	// Admitted means that the cost was charged.
	Admitted Verdict = iota + 1
	// Exceeded means that the account has spent its limit.
	Exceeded
	// NeedsGrant means that the daemon that grants the account's requests must be asked.
	NeedsGrant
)

// TakeOrAsk charges cost to an account if this daemon may spend it without a grant. If the
// limit is exceeded it returns the time after which to retry.
func (c *Core) TakeOrAsk(now time.Time, account string, cost float64) (retryAfter time.Duration, verdict Verdict) {
	b, known := c.buckets[account]
	if !known || b.limit.Rate == 0 {
		return 0, Admitted
	}
	c.refill(now, account, b)
	if need := math.Min(cost, b.limit.Burst); b.level < need {
		return b.timeUntil(need), Exceeded
	}
	b.recordRequested(now, cost)
	spent := c.recentlySpent(now, b)
	if spent+cost > grantFreeShare*c.tolerated(b)/float64(c.daemons()) {
		return 0, NeedsGrant
	}
	b.spend(now, cost)
	return 0, Admitted
}

// Grant charges cost to an account on behalf of another daemon. It is to be called at one
// daemon for each account, which knows the level but for what is spent without a grant. If
// the limit is exceeded it returns the time after which to retry.
func (c *Core) Grant(now time.Time, account string, cost float64) (retryAfter time.Duration, ok bool) {
	b, known := c.buckets[account]
	if !known || b.limit.Rate == 0 {
		return 0, true
	}
	c.refill(now, account, b)
	if need := math.Min(cost, b.limit.Burst); b.level < need {
		return b.timeUntil(need), false
	}
	b.level -= cost
	b.used += cost
	return 0, true
}

// Granted lowers the level by what another daemon has granted and counts as its own spending.
func (c *Core) Granted(now time.Time, account string, cost float64) {
	if b, known := c.buckets[account]; known && b.limit.Rate > 0 {
		c.refill(now, account, b)
		b.level -= cost
	}
}

// timeUntil returns the time until the bucket holds an amount.
func (b *bucket) timeUntil(need float64) time.Duration {
	return time.Duration((need - b.level) / b.limit.Rate * float64(time.Second))
}

// GrantRequest asks for the charge of a request.
type GrantRequest struct {
	Account string  `cbor:"1,keyasint"`
	Cost    float64 `cbor:"2,keyasint"`
}

// GrantReply is the answer. RetryAfter, in nanoseconds, is set if the charge is not granted.
type GrantReply struct {
	Granted    bool          `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}

// EncodeGrant encodes a request for a charge or its answer.
func EncodeGrant[T GrantRequest | GrantReply](m *T) ([]byte, error) {
	encoded, err := cbor.Marshal(m)
	return encoded, errors.Annotate(err, "encode a grant")
}

// DecodeGrant decodes what EncodeGrant has encoded.
func DecodeGrant[T GrantRequest | GrantReply](encoded []byte) (*T, error) {
	var m T
	if err := cbor.Unmarshal(encoded, &m); err != nil {
		return nil, errors.Annotate(err, "decode a grant")
	}
	return &m, nil
}
