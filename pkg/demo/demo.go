// Package demo runs both operators' deployments in one process over loopback
// TCP, injects faults while callers send requests, and verifies the outcomes
// against the ledgers of the simulated servers.
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
	// Examples is the folder of the operators' configurations.
	Examples string
	Out      io.Writer
	// JSON prints the report as JSON and suppresses progress lines.
	JSON bool
}

const (
	// startTimeout limits the time until all daemons of an operator are ready.
	startTimeout = 10 * time.Second
	// settleTimeout limits the wait for answers after the last request was sent.
	settleTimeout = 10 * time.Second
	// maxIdleConnsPerDaemon limits the callers' idle connections to each daemon.
	maxIdleConnsPerDaemon = 64
)

// operatorRun is one operator's deployment with its traffic.
type operatorRun struct {
	deployment *deployment
	traffic    *traffic
	revisions  *revisionMonitor
	// publishLatency is the time from the publish of the changed configuration
	// until it was in force at every daemon.
	publishLatency time.Duration
}

// Run runs the demo. It returns GuaranteeViolationError if a request was lost or
// doubled, an outcome was reported falsely, or a configuration was reverted.
func Run(ctx context.Context, options Options) (*Report, error) {
	started := time.Now()
	progress := func(format string, args ...any) {
		if options.JSON {
			return
		}
		fmt.Fprintf(options.Out, "%6.1fs  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	}
	var operatorRuns []*operatorRun
	defer func() {
		for _, o := range operatorRuns {
			o.close()
		}
	}()
	for i, w := range workloads() {
		o, err := startOperatorRun(ctx, w, options, options.Seed+uint64(i)*100)
		if o != nil {
			operatorRuns = append(operatorRuns, o)
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		progress("%s: %d engines, %d booking servers, %d daemons ready", w.name,
			len(o.deployment.engines), len(o.deployment.services), len(o.deployment.daemons))
	}
	runTraffic(ctx, operatorRuns, options, progress)
	report := verifyOperatorRuns(operatorRuns, options)
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

// startOperatorRun starts an operator's deployment, publishes its configuration
// and waits until every daemon is ready.
func startOperatorRun(ctx context.Context, w namedWorkload, options Options, seed uint64) (*operatorRun, error) {
	set, err := config.Load(filepath.Join(options.Examples, w.name+".jsonc"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	d, err := newDeployment(w.name, set, demoTimings)
	if err != nil {
		return nil, errors.Trace(err)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	balancer := &balancer{random: rand.New(rand.NewPCG(seed, 2))}
	o := &operatorRun{
		deployment: d,
		traffic: &traffic{
			workload: w.workload, balancer: balancer, random: random,
			http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerDaemon}},
		},
	}
	if err := d.startDaemons(seed); err != nil {
		return o, errors.Trace(err)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.publish(startCtx, set, 0); err != nil {
		return o, errors.Trace(err)
	}
	if _, err := d.awaitRevision(startCtx, 1); err != nil {
		return o, errors.Trace(err)
	}
	if err := d.awaitBackendServers(startCtx); err != nil {
		return o, errors.Trace(err)
	}
	balancer.set(d.callersAddresses())
	o.revisions = monitorRevisions(d)
	return o, nil
}

// runTraffic sends requests and injects faults for the configured duration, then
// waits up to settleTimeout for the remaining answers.
func runTraffic(ctx context.Context, operatorRuns []*operatorRun, options Options, progress func(string, ...any)) {
	sendCtx, stop := context.WithTimeout(ctx, options.Duration)
	defer stop()
	answerCtx, cancel := context.WithTimeout(ctx, options.Duration+settleTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, o := range operatorRuns {
		group.Go(func() { o.traffic.run(sendCtx, answerCtx) })
		group.Go(func() { o.injectFaults(sendCtx, options.Duration, progress) })
	}
	group.Wait()
	progress("traffic ended and all callers returned")
}

// verifyOperatorRuns verifies the records of all operators and returns the report
// of the whole run.
func verifyOperatorRuns(operatorRuns []*operatorRun, options Options) *Report {
	report := &Report{Seed: options.Seed, Operators: make(map[string]Counts)}
	latencies := newLatencies()
	for _, o := range operatorRuns {
		v := newVerifier(o.deployment.engineLedger, o.deployment.serviceLedger, latencies)
		counts := v.verify(&o.traffic.records)
		report.Counts.add(counts)
		report.Operators[o.deployment.name] = counts
		report.Findings = append(report.Findings, v.findings...)
		report.RevertedConfigurations += o.revisions.stop()
		report.PublishSeconds = max(report.PublishSeconds, o.publishLatency.Seconds())
		report.Cost += o.deployment.cloud.Ledger().Cost
		report.RecomputedTokens += o.deployment.engineLedger.Totals().RecomputedTokens
	}
	report.P95FirstTokenSeconds = percentileSeconds(latencies.firstToken, targetPercentile)
	report.P95BetweenTokensSeconds = percentileSeconds(latencies.betweenTokens, targetPercentile)
	return report
}

func (o *operatorRun) close() {
	if o.revisions != nil {
		o.revisions.stop()
	}
	o.traffic.http.CloseIdleConnections()
	o.deployment.close()
}

// namedWorkload is the workload of an operator. The operator's configuration is in
// the examples folder, in name.jsonc.
type namedWorkload struct {
	name string
	workload
}

// workloads returns the workload of each operator.
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

// promptWords is the length of a shared prompt in generated words.
const promptWords = 400

// prompts returns n different long prompts that begin with the subject.
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

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
