package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// Rollout is an order to move the plain service to a new software version.
type Rollout struct {
	// At is when it is given, and Duration the time until its deadline.
	At, Duration time.Duration
	// Badness is how the version is bad from BadFrom after the order on; nil means that it is
	// good.
	Badness *standin.Badness
	BadFrom time.Duration
}

const (
	rolloutService = "plain"
	rolloutVersion = "next"
	// drainDelay is the time from a roll-back until the new servers leave.
	drainDelay = 2 * time.Second
	// maxBadAnswers is the number of bad answers after which a version must get no more
	// requests.
	maxBadAnswers = 50
	// badShownFor is how long a version must have been bad before its shift for a completed
	// roll-out to be wrong.
	badShownFor = 0.2
)

// rolloutRecord is what the operator and the platform saw of a roll-out.
type rolloutRecord struct {
	orderedAt, decidedAt time.Time
	state                string
	states               []string
	servers              []*standin.Server
	total, exposed, bad  int
	// failed counts the first tries of callers that were not served from the order until
	// soon after its deadline.
	failed int
}

func (r *rolloutRecord) String() string {
	return fmt.Sprintf("%s after %v (%v): %d of %d requests to the version, %d bad answers, %d requests failed", r.state, r.decidedAt.Sub(r.orderedAt).Round(time.Millisecond),
		r.states, r.exposed, r.total, r.bad, r.failed)
}

// rollOut plays the operator and the platform: it writes the order, starts servers of the new
// version beside the old ones and acts on the status.
func (h *harness) rollOut(ctx context.Context, r *Rollout) {
	sleep(ctx, r.At)
	record := &h.rollout
	h.mu.Lock()
	var old []*standin.Server
	for _, id := range sortedNames(h.servers) {
		if s := h.servers[id]; s.Service == rolloutService {
			old = append(old, s)
		}
	}
	h.mu.Unlock()
	// Marshalling a map of strings and numbers cannot fail.
	order, _ := json.Marshal(map[string]any{"service": rolloutService, "to": rolloutVersion, "durationS": r.Duration.Seconds()})
	record.orderedAt = time.Now()
	h.store.Put(tableOperator, keyRollout, order)
	for range old {
		s, err := h.startVersion(rolloutService, rolloutVersion, nil)
		if err != nil {
			h.addFinding("server of the new version failed to start: %v", err)
			return
		}
		if r.Badness != nil {
			b := *r.Badness
			b.From = record.orderedAt.Add(r.BadFrom)
			s.SetBadness(b)
		}
		record.servers = append(record.servers, s)
	}
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		h.readStatus(record)
		switch record.state {
		case "completed":
			for _, s := range old {
				go s.Stop(3 * standin.HeartbeatInterval)
			}
			h.replaceServers(old, record.servers)
			return
		case "rolled_back":
			sleep(ctx, drainDelay)
			for _, s := range record.servers {
				go s.Drain(5*time.Second, true)
			}
			return
		}
	}
}

// readStatus reads what the system states, and checks that it never goes back.
func (h *harness) readStatus(record *rolloutRecord) {
	var status struct{ To, State string }
	value := h.store.Value("status", keyRollout)
	if value == nil {
		return
	}
	if err := json.Unmarshal(value, &status); err != nil || status.To != rolloutVersion {
		h.addFinding("status of the roll-out is %s (%v)", value, err)
		return
	}
	if status.State != record.state {
		record.state, record.decidedAt = status.State, time.Now()
		record.states = append(record.states, status.State)
	}
}

// replaceServers puts servers in the place of others that have ended.
func (h *harness) replaceServers(old, new []*standin.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range old {
		delete(h.servers, s.ID)
	}
	for _, s := range new {
		h.servers[s.ID] = s
	}
}

// checkRollout counts what the new version got over all daemons, and checks the outcome.
func (h *harness) checkRollout() {
	r, record := h.options.Rollout, &h.rollout
	if r == nil || record.orderedAt.IsZero() {
		return
	}
	h.readStatus(record)
	deadline := record.orderedAt.Add(r.Duration)
	isNew := make(map[string]bool)
	var bad []time.Time
	for _, s := range record.servers {
		isNew[s.ID] = true
		bad = append(bad, s.BadAnswers()...)
	}
	slices.SortFunc(bad, func(a, b time.Time) int { return a.Compare(b) })
	record.bad = len(bad)
	late := 0
	services := make(map[string]string)
	for _, s := range h.allServers {
		services[s.ID] = s.Service
	}
	for _, runs := range h.ledger.All() {
		for _, run := range runs {
			if services[run.ServerID] != rolloutService || run.At.Before(record.orderedAt) {
				continue
			}
			if run.At.Before(deadline) {
				record.total++
				if isNew[run.ServerID] {
					record.exposed++
				}
			}
			if isNew[run.ServerID] && len(bad) >= maxBadAnswers && run.At.After(bad[maxBadAnswers-1].Add(standin.RollbackTime)) {
				late++
			}
		}
	}
	tries := 0
	for _, try := range h.firstTries {
		if try.at.After(record.orderedAt) && try.at.Before(deadline.Add(drainDelay)) {
			tries++
			if !try.served {
				record.failed++
			}
		}
	}
	o := &h.options
	if o.KillEvery == 0 && o.StoreFaultEvery == 0 && o.DisturbedDaemons == 0 && record.failed > record.bad+tries/1000 {
		h.addFinding("%d of %d requests failed beside %d bad answers", record.failed, tries, record.bad)
	}
	for i, state := range record.states {
		if i > 0 && record.states[i-1] != "running" || state == "running" && i > 0 {
			h.addFinding("status of the roll-out went from %s to %s", record.states[i-1], state)
		}
	}
	if r.Badness == nil {
		if record.state != "completed" || record.decidedAt.After(deadline) {
			h.addFinding("good version is %q %v after the order, whose duration is %v", record.state, record.decidedAt.Sub(record.orderedAt), r.Duration)
		}
		return
	}
	if float64(record.exposed) > standin.ExposureShare*float64(record.total)+standin.ExposureSlack {
		h.addFinding("bad version got %d of %d requests", record.exposed, record.total)
	}
	if late > 0 {
		h.addFinding("bad version got %d requests later than %v after its bad answer %d", late, standin.RollbackTime, maxBadAnswers)
	}
	if record.state != "rolled_back" && r.BadFrom < time.Duration((1-badShownFor)*float64(r.Duration)) {
		h.addFinding("bad version is %q after %d bad answers", record.state, record.bad)
	}
}
