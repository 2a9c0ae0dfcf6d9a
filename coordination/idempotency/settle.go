package idempotency

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	// defaultLookupRetryPeriod is how long settlement waits for a service that
	// does not answer look-ups before it stores unknown.
	defaultLookupRetryPeriod = 30 * time.Second
	// defaultMaxSettling bounds the settlements in progress.
	defaultMaxSettling = 32
)

// SettleEvent is an input of a Settler.
type SettleEvent interface{ settleEvent() }

// Listed is a whole list of a range's open claims. ReceivedAt of the list is
// the time of the event.
type Listed struct {
	Range int
	Open  []OpenClaim
}

// LeaseLost says that the range is no longer this daemon's to settle.
type LeaseLost struct{ Range int }

// SettleRead is the end of a SettleReadRecord.
type SettleRead struct {
	ID     ID
	Item   table.Item
	Exists bool
	Failed bool
}

// SettleLookedUp is the end of a SettleLookup. NoLookup is set when the call
// declares no look-up.
type SettleLookedUp struct {
	ID       ID
	Kind     DispatchKind
	Answer   []byte
	NoLookup bool
}

// SettleCommitted is the end of a SettleWrite.
type SettleCommitted struct {
	ID     ID
	Result Result
}

func (Listed) settleEvent()          {}
func (LeaseLost) settleEvent()       {}
func (SettleRead) settleEvent()      {}
func (SettleLookedUp) settleEvent()  {}
func (SettleCommitted) settleEvent() {}

// SettleAction is an output of a Settler.
type SettleAction interface{ settleAction() }

// SettleReadRecord asks for a claim's record.
type SettleReadRecord struct{ ID ID }

// SettleLookup asks the service what became of the record's attempt.
type SettleLookup struct {
	ID     ID
	Record Record
}

// SettleWrite asks to commit a settlement.
type SettleWrite struct {
	ID     ID
	State  State
	Writes []table.Write
}

func (SettleReadRecord) settleAction() {}
func (SettleLookup) settleAction()     {}
func (SettleWrite) settleAction()      {}

// SettlerOptions configures a Settler. Zero values take defaults.
type SettlerOptions struct {
	LookupRetryPeriod time.Duration
	MaxSettling       int
}

// Settler is the core that settles the claims of the ranges whose leases this
// daemon holds. It settles a claim only after it has itself seen it open for
// as long as its owner may act, so that no clocks of two Hosts are compared.
// It never writes not_run unless the service states it.
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

// NewSettler returns a Settler that has seen nothing.
func NewSettler(options SettlerOptions) *Settler {
	if options.LookupRetryPeriod == 0 {
		options.LookupRetryPeriod = defaultLookupRetryPeriod
	}
	if options.MaxSettling == 0 {
		options.MaxSettling = defaultMaxSettling
	}
	return &Settler{options: options, claims: make(map[ID]*openClaim)}
}

// Handle takes an event and returns what to do.
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

// Open returns how many open claims are observed.
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

// observe starts the time of a claim that is seen for the first time.
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

// release ends a settlement in progress; the claim is looked at again with the
// next list.
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
		// No record does not prove that the attempt will not arrive.
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
