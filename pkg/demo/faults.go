package demo

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
)

const (
	// reclaimNotice is the time between the cloud's reclaim notice and the removal
	// of a zone's Hosts.
	reclaimNotice = 3 * time.Second
	// answerLossShare and outageShare are the lengths of the table service's answer
	// loss and outage as shares of the run's duration.
	answerLossShare = 0.08
	outageShare     = 0.10
	// lostAnswerProbability is the share of table transactions whose request or
	// answer is lost during that fault, serviceFaultProbability the share of
	// booking server calls that fail.
	lostAnswerProbability   = 0.3
	serviceFaultProbability = 0.05
	// maxCrashSends limits how often a crashing request is sent.
	maxCrashSends = 5
	// publishTimeout limits the time for a publish until its revision is in force
	// at every daemon.
	publishTimeout = 10 * time.Second
)

// faultStep is one step of the fault plan.
type faultStep struct {
	// startShare is the start of the step as a share of the run's duration.
	startShare float64
	name       string
	run        func(ctx context.Context) error
}

// injectFaults runs the fault plan over the duration. It reports each step after
// the step has ended.
func (o *operatorRun) injectFaults(ctx context.Context, duration time.Duration, progress func(string, ...any)) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, s := range o.faultPlan(duration) {
		group.Go(func() {
			if !sleep(ctx, time.Duration(s.startShare*float64(duration))) {
				return
			}
			err := s.run(ctx)
			if err != nil {
				progress("%s: %s: %v", o.deployment.name, s.name, err)
				return
			}
			progress("%s: %s", o.deployment.name, s.name)
		})
	}
}

// faultPlan returns the steps in the order of their start. Steps that take long
// may overlap.
func (o *operatorRun) faultPlan(duration time.Duration) []faultStep {
	share := func(s float64) time.Duration { return time.Duration(s * float64(duration)) }
	return []faultStep{
		{0.05, "booking servers lose, truncate, delay and mix up some answers", o.injectServiceFaults},
		{0.10, "a configuration change was published and is in force at every daemon", o.publishChange},
		{0.15, "the table service lost some write requests or their answers", func(ctx context.Context) error {
			return o.loseTableAnswers(ctx, share(answerLossShare))
		}},
		{0.25, "a request crashed its engines until it was quarantined", o.sendCrashingRequest},
		{0.32, "an engine was killed without notice", o.killEngine},
		{0.40, "two operators published concurrently and exactly one succeeded", o.publishConcurrently},
		{0.45, "a whole availability zone was reclaimed with notice", o.reclaimZone},
		{0.62, "open connections of an engine stopped carrying data", o.silenceEngine},
		{0.66, "the table service was unavailable", func(ctx context.Context) error {
			return o.makeTableUnavailable(ctx, share(outageShare))
		}},
		{0.80, "a daemon was stopped and replaced", o.replaceDaemon},
	}
}

// injectServiceFaults makes each call to a booking server fail with
// serviceFaultProbability, with a random fault.
func (o *operatorRun) injectServiceFaults(context.Context) error {
	faults := []plainservice.Fault{
		plainservice.FaultAnswerLost, plainservice.FaultCloseBefore, plainservice.FaultCrossedAnswer,
		plainservice.FaultHalfAnswer, plainservice.FaultSilentAfter, plainservice.FaultSilentBefore, plainservice.FaultSlow,
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(o.traffic.random.Uint64(), 0))
	o.deployment.mu.Lock()
	defer o.deployment.mu.Unlock()
	for _, name := range sortedKeys(o.deployment.services) {
		o.deployment.services[name].SetFault(func(plainservice.Call) plainservice.Fault {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() >= serviceFaultProbability {
				return plainservice.FaultNone
			}
			return faults[random.IntN(len(faults))]
		})
	}
	return nil
}

// modifiedSet returns the configuration with a higher rate limit for the first
// ClientAccount, so that its hash differs.
func (o *operatorRun) modifiedSet(extraRate int) *config.Set {
	set := *o.deployment.set
	set.ClientAccounts = append([]config.ClientAccount(nil), set.ClientAccounts...)
	set.ClientAccounts[0].RequestsPerSecond += float64(extraRate)
	return &set
}

// publishChange publishes a modified configuration and measures the time until it
// is in force at every daemon.
func (o *operatorRun) publishChange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	baseRevision := o.deployment.runningDaemons()[0].Revision()
	if err := o.deployment.publish(ctx, o.modifiedSet(1), baseRevision); err != nil {
		return errors.Trace(err)
	}
	latency, err := o.deployment.awaitRevision(ctx, baseRevision+1)
	o.publishLatency = latency
	return errors.Trace(err)
}

// publishConcurrently publishes two configurations at the same time, based on the
// same revision. Exactly one of them must succeed, the other must fail with a
// conflict.
func (o *operatorRun) publishConcurrently(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	daemons := o.deployment.runningDaemons()
	baseRevision := daemons[0].Revision()
	errs := make([]error, 2)
	var group sync.WaitGroup
	for i := range errs {
		group.Go(func() {
			_, errs[i] = daemons[i].Publish(ctx, publish.Request{Set: o.modifiedSet(2 + i), BaseRevision: baseRevision, Publisher: "demo"})
		})
	}
	group.Wait()
	var conflict *publish.ConflictError
	if (errs[0] == nil) == (errs[1] == nil) || !(errors.As(errs[0], &conflict) || errors.As(errs[1], &conflict)) {
		return &PublishRaceError{First: errs[0], Second: errs[1]}
	}
	_, err := o.deployment.awaitRevision(ctx, baseRevision+1)
	return errors.Trace(err)
}

// PublishRaceError reports two concurrent publishes of which not exactly one
// succeeded, or of which none failed with a conflict.
type PublishRaceError struct{ First, Second error }

func (e *PublishRaceError) Error() string {
	return "expected one publish to succeed and one to fail with a conflict: " + errorText(e.First) + "; " + errorText(e.Second)
}

// errorText returns the text of a publish result; err is nil after a success.
func errorText(err error) string {
	if err == nil {
		return "published"
	}
	return err.Error()
}

// loseTableAnswers makes the table service lose the request or the answer of some
// transactions for a time.
func (o *operatorRun) loseTableAnswers(ctx context.Context, duration time.Duration) error {
	random := rand.New(rand.NewPCG(o.traffic.random.Uint64(), 0))
	o.deployment.table.Table.SetFault(func(op memtable.Operation) memtable.Fault {
		if op != memtable.OperationTransact || random.Float64() >= lostAnswerProbability {
			return memtable.FaultNone
		}
		if random.IntN(2) == 0 {
			return memtable.FaultRequestLost
		}
		return memtable.FaultAnswerLost
	})
	sleep(ctx, duration)
	o.deployment.table.Table.SetFault(nil)
	return nil
}

// makeTableUnavailable makes all operations of the table service fail for a time.
func (o *operatorRun) makeTableUnavailable(ctx context.Context, duration time.Duration) error {
	o.deployment.table.Table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
	sleep(ctx, duration)
	o.deployment.table.Table.SetFault(nil)
	return nil
}

// NotQuarantinedError reports a crashing request that was sent repeatedly without
// being refused as quarantined.
type NotQuarantinedError struct{ Sends int }

func (e *NotQuarantinedError) Error() string { return "the crashing request was not quarantined" }

// sendCrashingRequest sends a request that crashes every engine that runs it, up to
// maxCrashSends times, until it is refused as quarantined.
func (o *operatorRun) sendCrashingRequest(ctx context.Context) error {
	random := rand.New(rand.NewPCG(o.traffic.random.Uint64(), 0))
	messages := []api.Message{{Role: "user", Content: crashMarker}}
	body, err := json.Marshal(map[string]any{"model": o.traffic.workload.model, "messages": messages, "max_tokens": chatTokens})
	if err != nil {
		return errors.Trace(err)
	}
	client := o.traffic.caller(random)
	for range maxCrashSends {
		attemptCtx, cancel := context.WithTimeout(ctx, chatTimeout)
		r, err := client.roundTrip(attemptCtx, http.MethodPost, "/v1/chat/completions", string(body), nil)
		cancel()
		if err == nil && r.problem != nil && r.problem.Type == "urn:monsooncrank:problem:request-quarantined" {
			return nil
		}
		if !sleep(ctx, reattachDelay) {
			break
		}
	}
	return &NotQuarantinedError{Sends: maxCrashSends}
}

// killEngine kills one engine without notice.
func (o *operatorRun) killEngine(context.Context) error {
	if live := o.deployment.liveEngines(); len(live) > 0 {
		o.deployment.failEngine(live[0])
	}
	return nil
}

// silenceEngine makes the open connections of one engine stop carrying data
// without being closed. New connections to it work.
func (o *operatorRun) silenceEngine(context.Context) error {
	if live := o.deployment.liveEngines(); len(live) > 0 {
		live[len(live)-1].Silence()
	}
	return nil
}

// reclaimZone makes the cloud reclaim all Hosts of one availability zone after
// reclaimNotice.
func (o *operatorRun) reclaimZone(ctx context.Context) error {
	o.deployment.cloud.ReclaimZone(o.deployment.zones[1], reclaimNotice)
	sleep(ctx, reclaimNotice)
	return nil
}

// replaceDaemon drains and closes a daemon, as the daemon does on SIGTERM, and
// starts another.
func (o *operatorRun) replaceDaemon(ctx context.Context) error {
	leaving := o.deployment.removeDaemon(0)
	o.traffic.balancer.set(o.deployment.callersAddresses())
	// ctx ends with the traffic, and the drain may take longer.
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainSeconds*time.Second)
	defer cancel()
	err := leaving.Drain(drainCtx)
	leaving.Close()
	if startErr := o.deployment.startDaemon(daemonsPerOperator, o.traffic.random.Uint64()); err == nil {
		err = startErr
	}
	return errors.Trace(err)
}
