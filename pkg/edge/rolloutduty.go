package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/rollout"
)

const (
	// rolloutPartition is the table partition with the state of each service's roll-out.
	rolloutPartition = "rollout"
	// decisionInterval is the time between two steps of the deciders.
	decisionInterval = 100 * time.Millisecond
	// deciderSilence is how long nothing is heard of a decider before another daemon takes
	// its place. Its directives reach the hubs every 0.25 s.
	deciderSilence = 750 * time.Millisecond
	// deciderHearing is the time within which a decider must have heard half of the other
	// daemons. Their counts reach the hubs within 0.7 s.
	deciderHearing = time.Second
	// minUpTime is how long after its start a daemon sees an order that is new to it when it
	// is given.
	minUpTime = rollout.InForceTime
	// maxClockError is the largest error of the stored time of an order. Messages that daemons
	// which were paused send late shift the median of the clocks.
	maxClockError = 2 * time.Second
	// stateInterval is the time between two attempts to write a status.
	stateInterval = 500 * time.Millisecond
	// evidenceLogInterval is how often the evidence is logged while a roll-out is running.
	evidenceLogInterval = 2 * time.Second
)

// storedRollout is a row of the table: who decides on an order and what was decided. It is
// changed under a condition only, so that there is one outcome of an order.
type storedRollout struct {
	Order table.Version `json:"order"`
	To    string        `json:"to"`
	// Term increases whenever another daemon begins to decide.
	Term             uint64        `json:"term"`
	State            rollout.State `json:"state"`
	StartedUnixMilli int64         `json:"startedUnixMilli"`
	// Denied holds the versions of earlier orders that were not completed.
	Denied []string `json:"denied,omitempty"`
	// InForce holds the versions that were in force before the order.
	InForce []string `json:"inForce,omitempty"`
	// copied is set if the row comes from an older copy, so that later states may be lost.
	copied bool
}

func rolloutKey(service string) table.Key {
	return table.Key{Partition: rolloutPartition, Sort: service}
}

// readRollout reads the state of a service's roll-out and the version of the row.
func readRollout(ctx context.Context, store table.Store, service string) (storedRollout, table.Version, error) {
	var stored storedRollout
	item, err := store.Get(ctx, rolloutKey(service))
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		return stored, store.Epoch().At(0), nil
	}
	if err != nil {
		return stored, 0, err
	}
	err = errors.Annotatef(json.Unmarshal(item.Value, &stored), "decode the state of the roll-out of %s", service)
	stored.copied = item.Copied()
	return stored, item.Version, err
}

// rolloutDuty decides on roll-outs while this daemon holds the duties lease, or takes the place
// of a decider that has fallen silent.
type rolloutDuty struct {
	daemon   *Daemon
	held     func() (uint64, bool)
	deciders map[string]*rolloutDecider
	// begun holds, by service, the term in which another daemon has begun to decide that has
	// not been heard yet.
	begun map[string]begunTerm
}

// begunTerm is a term and when its begin was seen.
type begunTerm struct {
	term uint64
	at   time.Time
}

// rolloutDecider decides on the order of one service.
type rolloutDecider struct {
	*rollout.Decider
	stored  storedRollout
	version table.Version
	// stated is set once the status says what is stored. Until then statement, if it is not
	// nil, returns the result of writing it, and stateAgainAt is when to try again.
	stated       bool
	statement    chan statement
	stateAgainAt time.Time
	loggedAt     time.Time
}

func newRolloutDuty(d *Daemon, held func() (uint64, bool)) *rolloutDuty {
	return &rolloutDuty{daemon: d, held: held, deciders: make(map[string]*rolloutDecider), begun: make(map[string]begunTerm)}
}

// run decides until the context ends.
func (u *rolloutDuty) run(ctx context.Context) {
	s := u.daemon.state
	if !s.rollouts.follower.Enabled() {
		return
	}
	watch := epochWatch{store: u.daemon.platform}
	for ctx.Err() == nil {
		pause(ctx, decisionInterval)
		if watch.changed() {
			// States and statuses may be lost: they are read and written again.
			clear(u.deciders)
			clear(u.begun)
		}
		s.mu.Lock()
		orders := s.rollouts.follower.Orders()
		s.mu.Unlock()
		for _, o := range orders {
			u.decide(ctx, o)
		}
		for service := range u.deciders {
			if !slices.ContainsFunc(orders, func(o rollout.Order) bool { return o.Service == service }) {
				delete(u.deciders, service)
			}
		}
	}
}

// decide makes one step for an order.
func (u *rolloutDuty) decide(ctx context.Context, o rollout.Order) {
	s := u.daemon.state
	s.mu.Lock()
	heard, _ := s.rollouts.follower.Heard(o.Service)
	s.mu.Unlock()
	d := u.deciders[o.Service]
	if d != nil && (d.Order().Revision != o.Revision || heard.Term > d.stored.Term) {
		// There is another order or another decider.
		delete(u.deciders, o.Service)
		d = nil
	}
	if d == nil {
		if !u.mayBegin(o) {
			return
		}
		if d = u.begin(ctx, o); d == nil {
			return
		}
		u.deciders[o.Service] = d
	}
	now := bootNow()
	s.mu.Lock()
	in := s.rolloutInput(o)
	outcome, final := d.Step(now, in)
	s.mu.Unlock()
	u.logEvidence(now, d, in)
	if final && d.Withholds() {
		// The store may not answer for a while: the version gets nothing meanwhile.
		u.direct(d, in)
	}
	if final && !u.settle(ctx, d, outcome) {
		return
	}
	// All daemons are told before the status is written: the store may not answer for a while.
	u.direct(d, in)
	if !d.stated {
		u.state(ctx, d)
	}
}

// direct issues a directive.
func (u *rolloutDuty) direct(d *rolloutDecider, in rollout.Input) {
	s := u.daemon.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	s.mergeRollout(d.Entry(now, in), now, "decider")
}

// mayBegin reports whether this daemon is to decide on an order that it does not decide on.
func (u *rolloutDuty) mayBegin(o rollout.Order) bool {
	s := u.daemon.state
	s.mu.Lock()
	heard, issuedAt := s.rollouts.follower.Heard(o.Service)
	s.mu.Unlock()
	if _, held := u.held(); held && (heard.Term == 0 || heard.State != rollout.Running) {
		// The status of a final state may not have been written.
		return true
	}
	return heard.Term > 0 && heard.State == rollout.Running && bootNow().Sub(issuedAt) > deciderSilence
}

// rolloutInput returns what is known of an order now.
func (s *state) rolloutInput(o rollout.Order) rollout.Input {
	s.rollouts.totals.Set(s.settings.Node, s.incarnation, s.rollouts.follower.Counts())
	of, others := s.rollouts.follower.Servers(o.Service, o.To)
	return rollout.Input{Sum: s.rollouts.totals.Sum(o.Service, o.Revision), NewServers: of, OldServers: others,
		OldRunning:  s.placement.RunningElsewhere(o.Service, o.To),
		AllTakePart: s.peers.OldestFormat(bootNow()) >= mesh.FormatDemands,
		Alone:       s.hearsFew()}
}

// begin makes this daemon the decider on an order, by a conditional write.
func (u *rolloutDuty) begin(ctx context.Context, o rollout.Order) *rolloutDecider {
	stored, version, err := readRollout(ctx, u.daemon.platform, o.Service)
	if err != nil {
		klog.InfoS("failed to read the state of a roll-out", "service", o.Service, "err", err)
		return nil
	}
	if stored.Order > o.Revision {
		return nil
	}
	if stored.To == o.To && stored.Order.Epoch() < o.Revision.Epoch() {
		// The operator has written the order again after the store returned from an older copy.
		stored.Order = o.Revision
	}
	s := u.daemon.state
	now := bootNow()
	s.mu.Lock()
	clusterNow, seen := s.clusterTime(), s.rollouts.seenAt[o.Service].at
	heard, issuedAt := s.rollouts.follower.Heard(o.Service)
	inForce, inUse := s.rollouts.follower.InForce(o.Service), s.rollouts.follower.VersionsInUse(o.Service, o.To)
	s.mu.Unlock()
	if stored.Order == o.Revision && heard.Term > 0 && stored.Term > heard.Term && u.isAwaited(now, o.Service, stored.Term) {
		return nil
	}
	next := stored
	next.copied = false
	if stored.copied && stored.Order == o.Revision && heard.Term >= stored.Term {
		// The row lacks what was decided since the copy.
		next.Term, next.State = heard.Term, heard.State
	}
	next.Term++
	if stored.Order != o.Revision {
		next = supersede(&stored, o, inForce, seen.Sub(s.startedAt) >= minUpTime)
		if stored.Order == 0 {
			next.InForce = inUse
		}
		next.StartedUnixMilli = clusterNow.Add(seen.Sub(now)).UnixMilli()
	}
	d := &rolloutDecider{version: version}
	if err := u.store(ctx, d, o.Service, next); err != nil {
		klog.InfoS("failed to begin to decide on a roll-out", "service", o.Service, "version", o.To, "term", next.Term, "err", err)
		return nil
	}
	startedAt := orderTime(now.Add(-clusterNow.Sub(time.UnixMilli(next.StartedUnixMilli))), seen, s.startedAt)
	d.Decider = rollout.NewDecider(o, u.daemon.settings.Rollout, next.Term, startedAt, next.State, next.Denied)
	if heard.Term > 0 {
		d.Adopt(&heard, issuedAt)
	}
	klog.InfoS("deciding on a roll-out", "service", o.Service, "version", o.To, "revision", o.Revision, "state", next.State.String(), "term", next.Term,
		"sinceMs", now.Sub(startedAt).Milliseconds(), "durationMs", o.Duration.Milliseconds(), "denied", next.Denied)
	return d
}

// orderTime returns when an order was given: by the stored time, which depends on the clocks of
// two hosts, or when this daemon saw the order, if it was up long before.
func orderTime(stored, seen, daemonStart time.Time) time.Time {
	if seen.Sub(daemonStart) >= minUpTime && seen.Sub(stored).Abs() <= maxClockError {
		return seen
	}
	if seen.Before(stored) {
		return seen
	}
	return stored
}

// isAwaited reports whether a daemon that has begun to decide may still be heard.
func (u *rolloutDuty) isAwaited(now time.Time, service string, term uint64) bool {
	if b, ok := u.begun[service]; ok && b.term == term {
		return now.Sub(b.at) < deciderSilence
	}
	u.begun[service] = begunTerm{term: term, at: now}
	return true
}

// supersede returns the state of an order that follows another one. An order for the version in
// force is complete. Whether it is shows in what this daemon saw in use before the order, if it
// was up then, and otherwise in what was stored of the earlier order.
func supersede(earlier *storedRollout, o rollout.Order, inForce, certain bool) storedRollout {
	next := storedRollout{Order: o.Revision, To: o.To, Term: earlier.Term + 1, Denied: slices.Clone(earlier.Denied), InForce: earlier.InForce}
	if earlier.State == rollout.Completed {
		next.InForce = []string{earlier.To}
	}
	if inForce || !certain && slices.Contains(next.InForce, o.To) {
		next.State = rollout.Completed
	}
	if earlier.To != "" && earlier.State != rollout.Completed {
		next.Denied = append(next.Denied, earlier.To)
	}
	slices.Sort(next.Denied)
	next.Denied = slices.DeleteFunc(slices.Compact(next.Denied), func(v string) bool { return v == o.To })
	return next
}

// store writes the state of a roll-out under the condition that nobody else has.
func (u *rolloutDuty) store(ctx context.Context, d *rolloutDecider, service string, next storedRollout) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	if err := u.daemon.platform.Transact(ctx, []table.Write{{Key: rolloutKey(service), Version: d.version, Value: value}}); err != nil {
		return err
	}
	d.version++
	d.stored = next
	return nil
}

// settle stores a decision and puts it in force. If that is not certain to have succeeded, the
// row is read again before the next step.
func (u *rolloutDuty) settle(ctx context.Context, d *rolloutDecider, o rollout.Outcome) bool {
	next := d.stored
	next.State = o.State
	err := u.store(ctx, d, d.Order().Service, next)
	test, strength, compared := d.Evidence()
	klog.InfoS("roll-out decided", "service", d.Order().Service, "version", d.Order().To, "state", o.State.String(), "reason", o.Reason, "test", test,
		"evidence", strength, "threshold", o.Threshold, "answersCompared", compared, "afterMs", bootNow().Sub(d.StartedAt()).Milliseconds(), "term", d.stored.Term, "err", err)
	if err == nil {
		d.Settle(o)
		d.stated, d.stateAgainAt = false, time.Time{}
		return true
	}
	stored, version, readErr := readRollout(ctx, u.daemon.platform, d.Order().Service)
	switch {
	case readErr != nil:
		klog.InfoS("failed to read the state of a roll-out", "service", d.Order().Service, "err", readErr)
	case stored.Order != d.Order().Revision || stored.Term != d.stored.Term:
		delete(u.deciders, d.Order().Service)
	default:
		d.version, d.stored = version, stored
		if stored.State != rollout.Running {
			d.Settle(rollout.Outcome{State: stored.State, Reason: o.Reason})
			d.stated, d.stateAgainAt = false, time.Time{}
			return true
		}
	}
	return false
}

// statement is a status that is being written, and then what became of it.
type statement struct {
	status RolloutStatus
	// row is the version of the row that the status follows.
	row    table.Version
	before RolloutStatus
	err    error
}

// state writes the status that operators read, which follows the stored state. It does not wait
// for the store: a later call sees the result.
func (u *rolloutDuty) state(ctx context.Context, d *rolloutDecider) {
	select {
	case result := <-d.statement:
		d.statement = nil
		u.noteStatement(d, result)
	default:
	}
	if d.stated || d.statement != nil || bootNow().Before(d.stateAgainAt) {
		return
	}
	service, platform := d.Order().Service, u.daemon.platform
	next := statement{status: RolloutStatus{To: d.stored.To, State: d.stored.State}, row: d.version}
	done := make(chan statement, 1)
	d.statement = done
	go func() {
		var version table.Version
		next.before, version, next.err = platform.ReadRolloutStatus(ctx, service)
		if next.err == nil && (version == 0 || next.before != next.status) {
			_, next.err = platform.WriteRolloutStatus(ctx, service, next.status, version, rolloutKey(service), next.row)
		}
		done <- next
	}()
}

// noteStatement applies the result of writing a status.
func (u *rolloutDuty) noteStatement(d *rolloutDecider, result statement) {
	service := d.Order().Service
	if result.row != d.version {
		// The state has changed since.
		return
	}
	if result.err == nil {
		d.stated = true
		klog.InfoS("roll-out stated", "service", service, "version", result.status.To, "state", result.status.State.String(), "before", result.before.State.String(),
			"beforeVersion", result.before.To)
		return
	}
	klog.InfoS("failed to state a roll-out", "service", service, "version", result.status.To, "state", result.status.State.String(), "err", result.err)
	d.stateAgainAt = bootNow().Add(stateInterval)
	var failed *table.ConditionFailedError
	if errors.As(result.err, &failed) && u.deciders[service] == d {
		// Another daemon may have begun to decide: the row is read again.
		delete(u.deciders, service)
	}
}

// logEvidence logs the evidence from time to time.
func (u *rolloutDuty) logEvidence(now time.Time, d *rolloutDecider, in rollout.Input) {
	if d.State() != rollout.Running || now.Sub(d.loggedAt) < evidenceLogInterval || in.Sum == nil {
		return
	}
	d.loggedAt = now
	answers, bad, others, badOthers := in.Sum.Answers()
	test, strength, compared := d.Evidence()
	klog.InfoS("roll-out", "service", d.Order().Service, "version", d.Order().To, "sent", in.Sum.Sent, "sentToVersion", in.Sum.SentNew, "answers", answers, "bad", bad,
		"otherAnswers", others, "otherBad", badOthers, "excess", in.Sum.Excess(), "test", test, "evidence", strength, "answersCompared", compared,
		"servers", in.NewServers, "otherServers", in.OldServers, "runningElsewhere", in.OldRunning, "allTakePart", in.AllTakePart)
}
