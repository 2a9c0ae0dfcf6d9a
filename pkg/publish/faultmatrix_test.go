package publish

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/faultmatrix"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore/memstore"
)

// The steps of a publish. A fault is injected right after its step, so that it
// affects the next operation.
const (
	stepChecked    = "checked"
	stepBodyStored = "body stored"
	stepHeadMoved  = "head moved"
	stepAnnounced  = "announced"
	stepInForce    = "in force"
)

// outageDuration is how long an injected outage lasts.
const outageDuration = 5 * time.Second

// matrixRun is one cell of the matrix: a publish of revision 2 with one fault.
type matrixRun struct {
	*testEnv
	cancel context.CancelFunc
	// dropAnnouncement is set when the publisher has died or its announcement
	// is lost.
	dropAnnouncement bool
	// rivalErr is the result of the second publisher, if there is one.
	rivalErr error
}

// hookedObjects calls a function before the first Put.
type hookedObjects struct {
	objectstore.Store
	before func()
}

func (h *hookedObjects) Put(ctx context.Context, key string, body []byte) error {
	if before := h.before; before != nil {
		h.before = nil
		before()
	}
	return h.Store.Put(ctx, key, body)
}

// TestFaultMatrixPublish injects each fault after each step of a publish. It
// guards against a publish whose outcome is reported incorrectly, a daemon that
// returns to an older revision, and daemons that do not serve the head after the
// fault.
func TestFaultMatrixPublish(t *testing.T) {
	klog.SetLogger(klog.Logger{})
	m := faultmatrix.Matrix{
		Name: "publish",
		Faults: []string{"publisher dies", "answer lost", "request lost", "table outage", "object store outage",
			"daemons paused", "daemon restarted", "peers cut off", "second publisher"},
		Steps: []string{stepChecked, stepBodyStored, stepHeadMoved, stepAnnounced, stepInForce},
		Cell: func(fault, step string) faultmatrix.Cell {
			if fault == "request lost" && step != stepChecked && step != stepBodyStored {
				return faultmatrix.Cell{NotApplicable: "what follows is an announcement or a read, for which a lost request and a lost answer are the same"}
			}
			return faultmatrix.Cell{Run: func(t *testing.T) { runCell(NewWithT(t), fault, step) }}
		},
	}
	m.Run(t, os.Stdout)
}

func runCell(g Gomega, fault, step string) {
	r := &matrixRun{testEnv: newTestEnv()}
	defer r.close()
	_, err := r.publish(1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	eventuallyInForce(g, r.daemons[0], 1)
	eventuallyInForce(g, r.daemons[1], 1)

	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	defer cancel()
	err = r.publishWith(ctx, step, func() { r.injectFault(g, fault, step) })
	if step == stepInForce {
		r.injectFault(g, fault, step)
	}
	r.advance(g, outageDuration)
	r.table.SetFault(nil)
	r.objects.SetFault(nil)
	r.peers[1].disconnected.Store(false)
	r.advance(g, 4*time.Second)
	r.verify(g, err)
}

// publishWith publishes revision 2 and calls injectFault right after a step.
func (r *matrixRun) publishWith(ctx context.Context, step string, injectFault func()) error {
	objects := &hookedObjects{Store: r.objects}
	hooks := &hookedTable{Store: r.table}
	switch step {
	case stepChecked:
		objects.before = injectFault
	case stepBodyStored:
		hooks.before = injectFault
	case stepHeadMoved:
		hooks.after = injectFault
	}
	p := NewPublisher(PublisherOptions{Table: hooks, Objects: objects, RetryWait: time.Microsecond, OnPublished: func(rec Record) {
		if r.dropAnnouncement {
			return
		}
		r.daemons[0].HandleAnnouncement(rec.Revision, rec.BodyHash)
		if step == stepAnnounced {
			injectFault()
		}
	}})
	_, err := p.Publish(ctx, Request{Set: setOf(2), BaseRevision: 1, PublishID: "second", Publisher: "operator"})
	return err
}

func (r *matrixRun) injectFault(g Gomega, fault, step string) {
	switch fault {
	case "publisher dies":
		r.dropAnnouncement = true
		r.cancel()
	case "answer lost":
		r.loseOnce(step, memtable.FaultAnswerLost, memstore.FaultAnswerLost)
	case "request lost":
		r.loseOnce(step, memtable.FaultRequestLost, memstore.FaultRequestLost)
	case "table outage":
		r.table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
	case "object store outage":
		r.objects.SetFault(func(memstore.Operation) memstore.Fault { return memstore.FaultUnavailable })
	case "daemons paused":
		r.clock.Step(10 * time.Second)
	case "daemon restarted":
		r.restart(1)
	case "peers cut off":
		r.peers[1].disconnected.Store(true)
	case "second publisher":
		_, r.rivalErr = NewPublisher(PublisherOptions{Table: r.table, Objects: r.objects}).Publish(context.Background(),
			Request{Set: setOf(9), BaseRevision: 1, PublishID: "rival", Publisher: "rival"})
		wins := step == stepChecked || step == stepBodyStored
		g.Expect(r.rivalErr == nil).To(Equal(wins))
	}
}

// loseOnce drops one answer or request of the operation that follows a step.
func (r *matrixRun) loseOnce(step string, inTable memtable.Fault, inObjects memstore.Fault) {
	lostInTable, lostInObjects := false, false
	loseRow := func(op memtable.Operation) memtable.Fault {
		wanted := step == stepBodyStored && op == memtable.OperationTransact || step == stepInForce && op == memtable.OperationGet
		if !wanted || lostInTable {
			return memtable.FaultNone
		}
		lostInTable = true
		return inTable
	}
	loseBody := func(op memstore.Operation) memstore.Fault {
		wanted := step == stepChecked && op == memstore.OperationPut || step == stepAnnounced && op == memstore.OperationGet
		if !wanted || lostInObjects {
			return memstore.FaultNone
		}
		lostInObjects = true
		return inObjects
	}
	r.table.SetFault(loseRow)
	r.objects.SetFault(loseBody)
	r.dropAnnouncement = step == stepHeadMoved
}

// verify compares the result that the publisher received with the history, and
// the configuration that each daemon serves with the head.
func (r *matrixRun) verify(g Gomega, published error) {
	records, err := r.publisher.History(context.Background(), maxHistory)
	g.Expect(err).NotTo(HaveOccurred())
	head := records[0]
	var undetermined *UndeterminedError
	if !errors.As(published, &undetermined) {
		g.Expect(head.PublishID == "second").To(Equal(published == nil), "publish returned %v, head %+v", published, head)
	}
	var conflict *ConflictError
	if head.PublishID == "rival" {
		g.Expect(errors.As(published, &conflict)).To(BeTrue())
		g.Expect(conflict.Winner.PublishID).To(Equal("rival"))
	}
	for _, d := range r.daemons {
		eventuallyInForce(g, d, head.Revision)
		snapshot, err := d.Current()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(snapshot.BodyHash).To(Equal(head.BodyHash))
	}
	g.Expect(r.reporter.Counts()).To(BeEmpty())
}
