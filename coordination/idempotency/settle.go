package idempotency

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	// defaultLookupRetryPeriod is how long settlement retries look-ups that the
	// service does not answer before it stores unknown.
	defaultLookupRetryPeriod = 30 * time.Second
	// defaultMaxSettling bounds the number of concurrent settlements.
	defaultMaxSettling = 32
)

// SettleEvent is an input event of a Settler.
type SettleEvent interface{ settleEvent() }

// Listed reports all open claims of a range. The time of the event is when the
// list was received.
type Listed struct {
	Range int
	Open  []OpenClaim
}

// LeaseLost reports that this daemon no longer holds the lease of the range and
// must not settle its claims.
type LeaseLost struct{ Range int }

// SettleRead reports the result of a SettleReadRecord.
type SettleRead struct {
	ID     ID
	Item   table.Item
	Exists bool
	Failed bool
}

// SettleLookedUp reports the result of a SettleLookup. NoLookup is set when the
// call declares no look-up.
type SettleLookedUp struct {
	ID       ID
	Kind     DispatchKind
	Answer   []byte
	NoLookup bool
}

// SettleCommitted reports the result of a SettleWrite.
type SettleCommitted struct {
	ID     ID
	Result Result
}

func (Listed) settleEvent()          {}
func (LeaseLost) settleEvent()       {}
func (SettleRead) settleEvent()      {}
func (SettleLookedUp) settleEvent()  {}
func (SettleCommitted) settleEvent() {}

// SettleAction is an action that a Settler requests.
type SettleAction interface{ settleAction() }

// SettleReadRecord requests a read of a claim's record.
type SettleReadRecord struct{ ID ID }

// SettleLookup requests the result of the record's attempt from the service.
type SettleLookup struct {
	ID     ID
	Record Record
}

// SettleWrite requests a commit of a settlement.
type SettleWrite struct {
	ID     ID
	State  State
	Writes []table.Write
}

func (SettleReadRecord) settleAction() {}
func (SettleLookup) settleAction()     {}
func (SettleWrite) settleAction()      {}

// SettlerOptions configures a Settler. Zero values select the defaults.
type SettlerOptions struct {
	LookupRetryPeriod time.Duration
	MaxSettling       int
}

// Settler is the state machine that settles abandoned claims of the ranges whose
// leases this daemon holds. It settles a claim only after this daemon has
// observed it open for as long as its owner may act, so that the clocks of two
// Hosts are never compared. It writes not_run only if the service states that the
// attempt did not run.
type Settler struct {
	options       SettlerOptions
	claims        map[ID]*openClaim
	settlingCount int
}

type openClaim struct {
	attemptID string
	seenAt    time.Time
	dueAt     time.Time
	settling  bool
	record    *Stored
}

// NewSettler returns a Settler that has observed no claims.
func NewSettler(options SettlerOptions) *Settler {
	if options.LookupRetryPeriod == 0 {
		options.LookupRetryPeriod = defaultLookupRetryPeriod
	}
	if options.MaxSettling == 0 {
		options.MaxSettling = defaultMaxSettling
	}
	return &Settler{options: options, claims: make(map[ID]*openClaim)}
}

// Handle processes an event and returns the actions to perform.
func (s *Settler) Handle(now time.Time, event SettleEvent) []SettleAction {
	switch e := event.(type) {
	case Listed:
		return s.listed(now, e)
	case LeaseLost:
		s.drop(func(id ID) bool { return id.Range() == e.Range })
	case SettleRead:
		return s.read(e)
	case SettleLookedUp:
		return s.lookedUp(now, e)
	case SettleCommitted:
		s.committed(e)
	}
	return nil
}

// Open returns the number of open claims under observation.
func (s *Settler) Open() int { return len(s.claims) }

func (s *Settler) listed(now time.Time, e Listed) []SettleAction {
	listed := make(map[ID]struct{}, len(e.Open))
	var actions []SettleAction
	for _, open := range e.Open {
		listed[open.ID] = struct{}{}
		claim := s.observe(now, open)
		if claim.settling || now.Before(claim.dueAt) || s.settlingCount >= s.options.MaxSettling {
			continue
		}
		claim.settling = true
		s.settlingCount++
		actions = append(actions, SettleReadRecord{ID: open.ID})
	}
	s.drop(func(id ID) bool {
		_, ok := listed[id]
		return id.Range() == e.Range && !ok
	})
	return actions
}

// observe returns the observation of a claim and starts one if the attempt is
// listed for the first time.
func (s *Settler) observe(now time.Time, open OpenClaim) *openClaim {
	claim := s.claims[open.ID]
	if claim != nil && (claim.attemptID == open.AttemptID || claim.settling) {
		return claim
	}
	settleAfter := time.Duration(open.SettleAfterMillis) * time.Millisecond
	claim = &openClaim{attemptID: open.AttemptID, seenAt: now, dueAt: now.Add(settleAfter)}
	s.claims[open.ID] = claim
	return claim
}

func (s *Settler) drop(match func(ID) bool) {
	for id, claim := range s.claims {
		if !match(id) {
			continue
		}
		if claim.settling {
			s.settlingCount--
		}
		delete(s.claims, id)
	}
}

// release ends a settlement in progress. If the claim is still open, the next
// list starts another one.
func (s *Settler) release(id ID) {
	if claim := s.claims[id]; claim != nil && claim.settling {
		claim.settling = false
		s.settlingCount--
	}
}

func (s *Settler) read(e SettleRead) []SettleAction {
	claim := s.claims[e.ID]
	if claim == nil || !claim.settling {
		return nil
	}
	if e.Failed || !e.Exists {
		s.release(e.ID)
		return nil
	}
	stored, err := Decode(e.ID, e.Item)
	if err != nil || stored.Record.State != StateClaimed || stored.Record.AttemptID != claim.attemptID {
		s.release(e.ID)
		return nil
	}
	claim.record = stored
	return []SettleAction{SettleLookup{ID: e.ID, Record: stored.Record}}
}

func (s *Settler) lookedUp(now time.Time, e SettleLookedUp) []SettleAction {
	claim := s.claims[e.ID]
	if claim == nil || !claim.settling || claim.record == nil {
		return nil
	}
	state, answer := StateUnknown, []byte(nil)
	switch {
	case e.NoLookup, e.Kind == LookupNoRecord:
		// That the service has no record does not prove that the attempt's
		// request will not arrive later, so the outcome stays unknown.
	case e.Kind == DispatchAnswered:
		state, answer = StateDone, e.Answer
	case e.Kind == DispatchRefused:
		state = StateNotRun
	case now.Before(claim.dueAt.Add(s.options.LookupRetryPeriod)):
		s.release(e.ID)
		return nil
	}
	outcome := claim.record.Record
	outcome.State, outcome.Answer, outcome.Settled = state, answer, true
	outcome.FinishedUnix = now.Unix()
	return []SettleAction{SettleWrite{ID: e.ID, State: state, Writes: OutcomeWrites(claim.record, &outcome)}}
}

func (s *Settler) committed(e SettleCommitted) {
	s.release(e.ID)
	if e.Result.Status == StatusApplied {
		delete(s.claims, e.ID)
	}
}
