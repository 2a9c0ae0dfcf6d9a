package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

// TestStoredEntriesAreLoadedAtTheStart guards against a daemon that fails at its
// start because the table holds quarantined requests: their load may end before
// the quarantine is fully built.
func TestStoredEntriesAreLoadedAtTheStart(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	g.Expect(store.Transact(context.Background(), []table.Write{{
		Key: table.Key{Partition: "quarantine", Sort: "f"}, Value: []byte(`{"fingerprint":"f","servers":["s1","s2"],"quarantined":true}`),
	}})).To(gomega.Succeed())
	for range 200 {
		registry := prometheus.NewRegistry()
		q, err := newStreamQuarantine(store, func(string, []byte) {}, clock.RealClock{}, decision.NewRecorder(1), registry)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Eventually(func() bool { return q.Check(context.Background(), "f").Quarantined }, time.Second, time.Millisecond).Should(gomega.BeTrue())
		metrics, err := registry.Gather()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(metrics[0].GetMetric()[0].GetGauge().GetValue()).To(gomega.Equal(1.0))
		q.close()
	}
}
