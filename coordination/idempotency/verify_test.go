package idempotency_test

import (
	"context"
	"fmt"

	"github.com/anishathalye/porcupine"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
)

// fakeService is a service that records which attempts actually ran.
type fakeService struct {
	deduplicates bool
	// rejectsUnknown makes the service refuse an attempt from then on if a
	// look-up did not find it.
	rejectsUnknown bool
	fault          string
	ran            map[string]int
	keys           map[string][]string
	rejected       map[string]bool
}

func newFakeService(deduplicates, rejectsUnknown bool) *fakeService {
	return &fakeService{
		deduplicates: deduplicates, rejectsUnknown: rejectsUnknown,
		ran: make(map[string]int), keys: make(map[string][]string), rejected: make(map[string]bool),
	}
}

func answerOf(attemptID string) []byte { return []byte("answer of " + attemptID) }

// run executes an attempt subject to the current fault, which lasts until it is
// changed.
func (f *fakeService) run(attemptID, key string) (idempotency.DispatchKind, []byte) {
	switch f.fault {
	case "service unreachable":
		return idempotency.DispatchNotSent, nil
	case "service refuses":
		return idempotency.DispatchRefused, nil
	case "service crashes before running":
		return idempotency.DispatchBroken, nil
	}
	if f.rejected[attemptID] {
		return idempotency.DispatchRefused, nil
	}
	if ran := f.keys[key]; f.deduplicates && len(ran) > 0 {
		return idempotency.DispatchAnswered, answerOf(ran[0])
	}
	f.ran[attemptID]++
	f.keys[key] = append(f.keys[key], attemptID)
	switch f.fault {
	case "service crashes after running", "answer crossed":
		return idempotency.DispatchBroken, nil
	}
	return idempotency.DispatchAnswered, answerOf(attemptID)
}

func (f *fakeService) find(attemptID string) (idempotency.DispatchKind, []byte) {
	switch {
	case f.fault != "":
		return idempotency.DispatchBroken, nil
	case f.ran[attemptID] > 0:
		return idempotency.DispatchAnswered, answerOf(attemptID)
	case f.rejectsUnknown:
		f.rejected[attemptID] = true
		return idempotency.DispatchRefused, nil
	default:
		return idempotency.LookupNoRecord, nil
	}
}

// outcomeRegister models each key as a register that is written at most once:
// all callers that get an answer under a key get the same one.
var outcomeRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		replied, written := output.(idempotency.Reply), state.(string)
		if replied.Kind != idempotency.ReplyDone {
			return true, state
		}
		if replied.Replayed && written == "" {
			// The caller of the attempt that ran was not answered; the answer is
			// taken from the replay.
			return true, string(replied.Answer)
		}
		if !replied.Replayed && written != "" {
			return false, state
		}
		return written == "" || written == string(replied.Answer), string(replied.Answer)
	},
}

// verify compares all replies with the service's record of what ran, checks that
// the replies are linearizable, and expects no claim to be open.
func (s *simulation) verify() {
	for key, attempts := range s.service.keys {
		if len(attempts) > 1 {
			s.fail("I4: key %s ran %d times, attempts %v", key, len(attempts), attempts)
		}
	}
	for _, a := range s.attempts {
		s.verifyAttempt(a)
	}
	register := outcomeRegister
	if s.service.deduplicates {
		// An answer that the service itself repeats is not marked as replayed.
		register.Step = func(state, input, output any) (bool, any) {
			replied := output.(idempotency.Reply)
			replied.Replayed = true
			return outcomeRegister.Step(state, input, replied)
		}
	}
	if !porcupine.CheckOperations(register, s.history) {
		s.fail("the history of outcomes is not linearizable: %v", s.history)
	}
	for r := range idempotency.Ranges {
		if open, _, _ := idempotency.ListOpen(context.Background(), s.store, r); len(open) > 0 {
			s.fail("claims %v are still open", open)
		}
	}
}

func (s *simulation) verifyAttempt(a *attempt) {
	id, ran := a.spec.AttemptID, s.service.ran[a.spec.AttemptID]
	switch {
	case ran > 1:
		s.fail("I4: attempt %s ran %d times", id, ran)
	case a.replied == nil:
		return
	case a.replied.Kind.NotRun() && ran > 0:
		s.fail("I3: attempt %s was reported as not run (reply kind %d) but ran", id, a.replied.Kind)
	case a.replied.Kind == idempotency.ReplyConflict && ran > 0:
		s.fail("I3: attempt %s was reported as a conflict but ran", id)
	case a.replied.Kind == idempotency.ReplyDone:
		s.verifyDone(a)
	}
}

// verifyDone expects that exactly one attempt of the key ran and that the caller
// got its answer.
func (s *simulation) verifyDone(a *attempt) {
	ran := s.service.keys[a.spec.ID.Key]
	if len(ran) != 1 || string(a.replied.Answer) != string(answerOf(ran[0])) {
		s.fail("I3: attempt %s was answered %q, but the attempts that ran under its key are %v", a.spec.AttemptID, a.replied.Answer, ran)
	}
	if !a.replied.Replayed && !s.service.deduplicates && ran[0] != a.spec.AttemptID {
		s.fail("I2: attempt %s got the answer of attempt %s", a.spec.AttemptID, ran[0])
	}
}

// replyName returns the name of a reply for the report.
func replyName(r *idempotency.Reply) string {
	if r == nil {
		return "caller not answered"
	}
	if r.Replayed {
		return fmt.Sprint(r.Kind, " replayed")
	}
	return r.Kind.String()
}
