// Package demo runs both operators' deployments in one process over loopback
// TCP, injects faults while callers send requests, and judges the outcomes by
// the ledgers of the stand-ins.
package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/config"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration is how long callers send requests.
	Duration time.Duration
	// ReportFile receives the report as JSON, if set.
	ReportFile string
	// Examples is the folder of the configurations.
	Examples string
	Out      io.Writer
	// JSON prints the report as JSON, without progress.
	JSON bool
}

const (
	// startTimeout bounds the time until all daemons are ready.
	startTimeout = 10 * time.Second
	// settleTimeout bounds the wait for the answers after the last request.
	settleTimeout = 10 * time.Second
	// callersIdle bounds the idle connections of the callers to each daemon.
	callersIdle = 64
)

// operation is one operator's deployment with its callers.
type operation struct {
	deployment *deployment
	traffic    *traffic
	watch      *revisionWatch
	publish    time.Duration
}

// Run runs the demo. It returns GuaranteeViolationError if a promise was broken.
func Run(ctx context.Context, options Options) (*Report, error) {
	started := time.Now()
	progress := func(format string, args ...any) {
		if options.JSON {
			return
		}
		fmt.Fprintf(options.Out, "%6.1fs  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	}
	var operations []*operation
	defer func() {
		for _, o := range operations {
			o.close()
		}
	}()
	for i, w := range workloads() {
		o, err := startOperation(ctx, w, options, options.Seed+uint64(i)*100)
		if o != nil {
			operations = append(operations, o)
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		progress("%s: %d engines, %d booking servers, %d daemons ready", w.name,
			len(o.deployment.engines), len(o.deployment.services), len(o.deployment.daemons))
	}
	runTraffic(ctx, operations, options, progress)
	report := judgeOperations(operations, options)
	report.DurationSeconds = time.Since(started).Seconds()
	if err := report.print(options.Out, options.JSON); err != nil {
		return report, errors.Trace(err)
	}
	if options.ReportFile != "" {
		if err := report.save(options.ReportFile); err != nil {
			return report, errors.Trace(err)
		}
	}
	if report.Failed() {
		return report, &GuaranteeViolationError{Report: report}
	}
	return report, nil
}

// startOperation starts an operator's deployment and publishes its
// configuration.
func startOperation(ctx context.Context, w namedWorkload, options Options, seed uint64) (*operation, error) {
	set, err := config.Load(filepath.Join(options.Examples, w.name+".jsonc"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	d, err := newDeployment(w.name, set, demoCosts)
	if err != nil {
		return nil, errors.Trace(err)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	entrances := &entrances{random: rand.New(rand.NewPCG(seed, 2))}
	o := &operation{
		deployment: d,
		traffic: &traffic{
			workload: w.workload, entrances: entrances, random: random,
			http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callersIdle}},
		},
	}
	if err := d.startDaemons(seed); err != nil {
		return o, errors.Trace(err)
	}
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.publish(bounded, set, 0); err != nil {
		return o, errors.Trace(err)
	}
	if _, err := d.awaitRevision(bounded, 1); err != nil {
		return o, errors.Trace(err)
	}
	if err := d.awaitMembers(bounded); err != nil {
		return o, errors.Trace(err)
	}
	entrances.set(d.callersAddresses())
	o.watch = watchRevisions(d)
	return o, nil
}

// runTraffic sends requests and injects faults until the duration is over.
func runTraffic(ctx context.Context, operations []*operation, options Options, progress func(string, ...any)) {
	sending, stop := context.WithTimeout(ctx, options.Duration)
	defer stop()
	deadline, cancel := context.WithTimeout(ctx, options.Duration+settleTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, o := range operations {
		group.Go(func() { o.traffic.run(sending, deadline) })
		group.Go(func() { o.injectFaults(sending, options.Duration, progress) })
	}
	group.Wait()
	progress("all callers have their answers")
}

func judgeOperations(operations []*operation, options Options) *Report {
	report := &Report{Seed: options.Seed, Operators: make(map[string]Counts)}
	judges := newTimes()
	for _, o := range operations {
		j := newJudge(o.deployment.engineLedger, o.deployment.serviceLedger, judges)
		counts := j.judge(&o.traffic.records)
		report.Counts.add(counts)
		report.Operators[o.deployment.name] = counts
		report.Findings = append(report.Findings, j.findings...)
		report.RevertedConfigurations += o.watch.stop()
		report.PublishSeconds = max(report.PublishSeconds, o.publish.Seconds())
		report.Cost += o.deployment.cloud.Ledger().Cost
		report.RecomputedTokens += o.deployment.engineLedger.Totals().RecomputedTokens
	}
	report.P95FirstTokenSeconds = quantileSeconds(judges.firstToken, targetQuantile)
	report.P95BetweenTokensSeconds = quantileSeconds(judges.betweenTokens, targetQuantile)
	return report
}

func (o *operation) close() {
	if o.watch != nil {
		o.watch.stop()
	}
	o.traffic.http.CloseIdleConnections()
	o.deployment.close()
}

// namedWorkload is the workload of an operator whose configuration is in the
// file of that name.
type namedWorkload struct {
	name string
	workload
}

func workloads() []namedWorkload {
	return []namedWorkload{
		{"kodiclub", workload{
			model: "club-assistant", service: "enrolment", check: "seat_availability",
			bookings: []string{"seat_booking", "payment"},
			accounts: []string{"parent-portal", "tbilisi-schools", "batumi-schools"},
			prompts:  prompts("You answer parents about after-school coding clubs", 8),
		}},
		{"ganda", workload{
			model: "styling-model", deferredModel: "styling-model", service: "salon", check: "slot_check",
			bookings: []string{"booking_confirmation", "deposit_hold"},
			accounts: []string{"manila-branches", "quezon-branches"},
			prompts:  prompts("You write lookbook briefs for stylists", 8),
		}},
	}
}

// promptWords is the length of a shared prompt.
const promptWords = 400

func prompts(subject string, n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		text := fmt.Sprintf("%s, branch %d.", subject, i)
		for word := range promptWords {
			text += fmt.Sprintf(" w%d", (word*7+i)%97)
		}
		list = append(list, text)
	}
	return list
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
