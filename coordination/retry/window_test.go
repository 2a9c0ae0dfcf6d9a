package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/retry"
)

var windowOptions = retry.WindowOptions{Length: 10 * time.Second, Ratio: 0.2}

// TestRetriesOfAWindowMayComeAtOnce covers the loss of all engines of a zone at
// once: the streams that break at the same time may be retried immediately, up to
// the number that the requests in the window allow.
func TestRetriesOfAWindowMayComeAtOnce(t *testing.T) {
	g := NewWithT(t)
	w := retry.NewWindow(windowOptions)
	now := time.Unix(1000, 0)
	for i := range 100 {
		w.RecordRequest(now.Add(time.Duration(i) * 90 * time.Millisecond))
	}
	now = now.Add(9 * time.Second)
	retries := 0
	for w.TrySpend(now, 2) {
		retries++
	}
	g.Expect(retries).To(Equal(22))
	g.Expect(w.Remaining(now.Add(30*time.Second), 2)).To(Equal(2.0))
}

// TestNoWindowHoldsMoreRetries guards against a retry storm: no window that ends
// with a retry contains more retries than the requests in it allow.
func TestNoWindowHoldsMoreRetries(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	w := retry.NewWindow(windowOptions)
	now := time.Unix(1000, 0)
	var requests, retries []time.Time
	for range 5000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		w.RecordRequest(now)
		requests = append(requests, now)
		for random.IntN(3) == 0 && w.TrySpend(now, 4) {
			retries = append(retries, now)
		}
	}
	g.Expect(len(retries)).To(BeNumerically(">", 500))
	for _, end := range retries {
		from := end.Add(-windowOptions.Length)
		g.Expect(float64(countWithin(retries, from, end))).To(BeNumerically("<=", 0.2*float64(countWithin(requests, from, end))+4))
	}
}

// countWithin returns how many times are after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// TestRestartsDoNotRenewTheFixedRetries guards against a daemon that spends the
// fixed number of retries again after each restart: its earlier runs count towards
// the same window.
func TestRestartsDoNotRenewTheFixedRetries(t *testing.T) {
	g := NewWithT(t)
	const fixed = 40
	random := rand.New(rand.NewPCG(8, 8))
	now := time.Unix(1000, 0)
	options := windowOptions
	w := retry.NewWindow(options)
	var requests, retries []time.Time
	for range 20000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		if random.IntN(300) == 0 {
			options.ProcessStart = now
			w = retry.NewWindow(options)
		}
		w.RecordRequest(now)
		requests = append(requests, now)
		for w.TrySpend(now, fixed) {
			retries = append(retries, now)
		}
	}
	for _, end := range retries {
		from := end.Add(-options.Length)
		g.Expect(float64(countWithin(retries, from, end))).To(BeNumerically("<=", 0.2*float64(countWithin(requests, from, end))+fixed))
	}
}
