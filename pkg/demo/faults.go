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
	// reclaimNotice is what the cloud gives before it takes a zone's Hosts.
	reclaimNotice = 3 * time.Second
	// Shares of the duration that faults which last take.
	lossShare   = 0.08
	outageShare = 0.10
	// lostAnswers and the others are the probabilities of a fault while it
	// lasts.
	lostAnswers   = 0.3
	serviceFaults = 0.05
	// crashSends is how often the caller of a crashing request sends it.
	crashSends = 5
	// slowPublish bounds a publish and its way to every daemon.
	publishTimeout = 10 * time.Second
)

// step is one step of the fault plan.
type step struct {
	// at is the share of the duration at which the step begins.
	at   float64
	name string
	run  func(ctx context.Context) error
}

// injectFaults runs the fault plan over the duration.
func (o *operation) injectFaults(ctx context.Context, duration time.Duration, progress func(string, ...any)) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, s := range o.plan(duration) {
		group.Go(func() {
			if !sleep(ctx, time.Duration(s.at*float64(duration))) {
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

func (o *operation) plan(duration time.Duration) []step {
	share := func(s float64) time.Duration { return time.Duration(s * float64(duration)) }
	return []step{
		{0.05, "booking servers lose, cross and silence some answers", o.disturbServices},
		{0.10, "a change was published and is in force everywhere", o.publishChange},
		{0.15, "the table service lost answers of writes", func(ctx context.Context) error {
			return o.loseAnswers(ctx, share(lossShare))
		}},
		{0.25, "a request crashed its engines until it was quarantined", o.sendCrashing},
		{0.32, "an engine was killed without notice", o.killEngine},
		{0.40, "two operators published at the same time and one won", o.publishTwice},
		{0.45, "a whole availability zone was reclaimed with notice", o.reclaimZone},
		{0.62, "the connections of an engine went silent", o.silenceEngine},
		{0.66, "the table service was down", func(ctx context.Context) error {
			return o.stopTable(ctx, share(outageShare))
		}},
		{0.80, "a daemon was stopped and replaced", o.replaceDaemon},
	}
}

// disturbServices makes booking servers fail now and then.
func (o *operation) disturbServices(context.Context) error {
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
			if random.Float64() >= serviceFaults {
				return plainservice.FaultNone
			}
			return faults[random.IntN(len(faults))]
		})
	}
	return nil
}

// changed returns the configuration with other limits, so that its hash differs.
func (o *operation) changed(extra int) *config.Set {
	set := *o.deployment.set
	set.ClientAccounts = append([]config.ClientAccount(nil), set.ClientAccounts...)
	set.ClientAccounts[0].RequestsPerSecond += float64(extra)
	return &set
}

func (o *operation) publishChange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	before := o.deployment.running()[0].Revision()
	if err := o.deployment.publish(ctx, o.changed(1), before); err != nil {
		return errors.Trace(err)
	}
	took, err := o.deployment.awaitRevision(ctx, before+1)
	o.publish = took
	return errors.Trace(err)
}

// publishTwice lets two operators publish against the same revision.
func (o *operation) publishTwice(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	daemons := o.deployment.running()
	before := daemons[0].Revision()
	results := make([]error, 2)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			_, results[i] = daemons[i].Publish(ctx, publish.Request{Set: o.changed(2 + i), BaseRevision: before, Publisher: "demo"})
		})
	}
	group.Wait()
	var conflict *publish.ConflictError
	if (results[0] == nil) == (results[1] == nil) || !(errors.As(results[0], &conflict) || errors.As(results[1], &conflict)) {
		return &PublishRaceError{First: results[0], Second: results[1]}
	}
	_, err := o.deployment.awaitRevision(ctx, before+1)
	return errors.Trace(err)
}

// PublishRaceError reports two publishers of which not exactly one has won.
type PublishRaceError struct{ First, Second error }

func (e *PublishRaceError) Error() string {
	return "not exactly one publisher won: " + errorText(e.First) + "; " + errorText(e.Second)
}

func errorText(err error) string {
	if err == nil {
		return "published"
	}
	return err.Error()
}

func (o *operation) loseAnswers(ctx context.Context, lasts time.Duration) error {
	random := rand.New(rand.NewPCG(o.traffic.random.Uint64(), 0))
	o.deployment.table.Table.SetFault(func(op memtable.Operation) memtable.Fault {
		if op != memtable.OperationTransact || random.Float64() >= lostAnswers {
			return memtable.FaultNone
		}
		if random.IntN(2) == 0 {
			return memtable.FaultRequestLost
		}
		return memtable.FaultAnswerLost
	})
	sleep(ctx, lasts)
	o.deployment.table.Table.SetFault(nil)
	return nil
}

func (o *operation) stopTable(ctx context.Context, lasts time.Duration) error {
	o.deployment.table.Table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
	sleep(ctx, lasts)
	o.deployment.table.Table.SetFault(nil)
	return nil
}

// NotQuarantinedError reports a crashing request that was not refused.
type NotQuarantinedError struct{ Sends int }

func (e *NotQuarantinedError) Error() string { return "the crashing request was not quarantined" }

// sendCrashing sends a request that crashes the engines that run it until it is
// refused.
func (o *operation) sendCrashing(ctx context.Context) error {
	random := rand.New(rand.NewPCG(o.traffic.random.Uint64(), 0))
	messages := []api.Message{{Role: "user", Content: crashMarker}}
	body, err := json.Marshal(map[string]any{"model": o.traffic.workload.model, "messages": messages, "max_tokens": chatTokens})
	if err != nil {
		return errors.Trace(err)
	}
	from := o.traffic.caller(random)
	for range crashSends {
		bounded, cancel := context.WithTimeout(ctx, chatPatience)
		r, err := from.exchange(bounded, http.MethodPost, "/v1/chat/completions", string(body), nil)
		cancel()
		if err == nil && r.problem != nil && r.problem.Type == "urn:monsooncrank:problem:request-quarantined" {
			return nil
		}
		if !sleep(ctx, reattachDelay) {
			break
		}
	}
	return &NotQuarantinedError{Sends: crashSends}
}

func (o *operation) killEngine(context.Context) error {
	if live := o.deployment.liveEngines(); len(live) > 0 {
		o.deployment.fail(live[0])
	}
	return nil
}

func (o *operation) silenceEngine(context.Context) error {
	if live := o.deployment.liveEngines(); len(live) > 0 {
		live[len(live)-1].Silence()
	}
	return nil
}

func (o *operation) reclaimZone(ctx context.Context) error {
	o.deployment.cloud.ReclaimZone(o.deployment.zones[1], reclaimNotice)
	sleep(ctx, reclaimNotice)
	return nil
}

// replaceDaemon stops a daemon in the way of SIGTERM and starts another.
func (o *operation) replaceDaemon(ctx context.Context) error {
	leaving := o.deployment.remove(0)
	o.traffic.entrances.set(o.deployment.callersAddresses())
	// The drain may outlast the traffic.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainSeconds*time.Second)
	defer cancel()
	err := leaving.Drain(bounded)
	leaving.Close()
	if startErr := o.deployment.startDaemon(daemonsPerOperator, o.traffic.random.Uint64()); err == nil {
		err = startErr
	}
	return errors.Trace(err)
}
