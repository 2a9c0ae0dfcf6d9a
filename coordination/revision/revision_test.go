package revision

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

func TestRevision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revision")
}

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one   = Revision{1, "one"}
	two   = Revision{2, "two"}
)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// started returns a Tracker that has served revision one since second 1.
func started() *Tracker {
	t, _ := New(at(0), Options{})
	t.Handle(at(1), HeadRead{Head: one, RequestedAt: at(0.5)})
	t.Handle(at(1), BodyReady{one})
	return t
}

var _ = Describe("Tracker", func() {
	It("serves nothing until the head is read and its body is ready", func() {
		t, first := New(at(0), Options{})
		Expect(first).To(Equal([]Action{StopServing{StopStarted}, ReadHead{}}))
		_, err := t.Serving(at(0))
		Expect(err).To(MatchError(&NotConfirmedError{Reason: StopStarted}))
		Expect(t.Handle(at(1), HeadRead{Head: one, RequestedAt: at(0)})).To(Equal([]Action{Announce{one}, FetchBody{one}}))
		_, err = t.Serving(at(1))
		Expect(err).To(MatchError(&NotConfirmedError{Reason: StopBodyMissing, Known: one}))
		Expect(t.Handle(at(1), BodyReady{one})).To(Equal([]Action{PutInForce{one}, StartServing{one}}))
		Expect(t.Serving(at(1))).To(Equal(one))
	})

	// Guards against a revert caused by a stale read or a late announcement.
	It("refuses a lower revision from the table and from peers", func() {
		t := started()
		t.Handle(at(2), PeerReported{"p", two})
		Expect(t.Handle(at(2), BodyReady{two})).To(Equal([]Action{PutInForce{two}}))
		Expect(t.Handle(at(2), HeadRead{Head: one, RequestedAt: at(1)})).To(Equal([]Action{RefuseLower{Offered: one, Known: two}}))
		Expect(t.Handle(at(2), PeerReported{"p", one})).To(Equal([]Action{RefuseLower{Offered: one, Known: two, Peer: "p"}}))
		Expect(t.Handle(at(2), BodyReady{one})).To(BeEmpty())
		Expect(t.Serving(at(2))).To(Equal(two))
	})

	// Guards against work under an old revision right after a pause because of an
	// answer to a request that was sent before the pause.
	It("serves nothing after a pause until it gets an answer to a later request", func() {
		t := started()
		_, err := t.Serving(at(4.1))
		Expect(err).To(MatchError(&NotConfirmedError{Reason: StopPaused, Known: one}))
		Expect(t.Handle(at(5), HeadRead{Head: one, RequestedAt: at(1.5)})).To(Equal([]Action{ReadHead{}, StopServing{StopPaused}}))
		_, ok := t.Confirmed(at(5))
		Expect(ok).To(BeFalse())
		Expect(t.Handle(at(6), HeadRead{Head: two, RequestedAt: at(5)})).To(Equal([]Action{Announce{two}, FetchBody{two}}))
		_, err = t.Serving(at(6))
		Expect(err).To(MatchError(&NotConfirmedError{Reason: StopBodyMissing, Known: two}))
		Expect(t.Handle(at(6), BodyReady{two})).To(Equal([]Action{PutInForce{two}, StartServing{two}}))
	})

	It("continues to serve during a table outage without a pause", func() {
		t := started()
		for s := 2.0; s < 60; s++ {
			Expect(t.Handle(at(s), TableFailed{RequestedAt: at(s)})).To(BeEmpty())
		}
		Expect(t.Serving(at(59))).To(Equal(one))
	})

	// Guards against a start during an outage that relies on a peer without a
	// confirmed revision, or only on the first peer.
	It("uses the highest revision of its peers when it starts during an outage", func() {
		t, _ := New(at(0), Options{})
		Expect(t.Handle(at(1), TableFailed{RequestedAt: at(0)})).To(Equal([]Action{QueryPeers{}}))
		Expect(t.Handle(at(1), TableFailed{RequestedAt: at(0)})).To(BeEmpty())
		t.Handle(at(1), PeersAnswered{RequestedAt: at(1)})
		Expect(t.Handle(at(2), TableFailed{RequestedAt: at(1)})).To(Equal([]Action{QueryPeers{}}))
		t.Handle(at(2), PeerReported{"p", one})
		t.Handle(at(2), BodyReady{one})
		_, err := t.Serving(at(2))
		Expect(err).To(HaveOccurred())
		t.Handle(at(2), PeerReported{"q", two})
		t.Handle(at(2), PeersAnswered{RequestedAt: at(2), Confirmed: 2})
		_, err = t.Serving(at(2))
		Expect(err).To(MatchError(&NotConfirmedError{Reason: StopBodyMissing, Known: two}))
		t.Handle(at(2), BodyReady{two})
		Expect(t.Serving(at(2))).To(Equal(two))
	})

	It("fetches a body again after a delay and a later revision at once", func() {
		t := started()
		t.Handle(at(2), PeerReported{"p", two})
		Expect(t.Handle(at(2), BodyFailed{two})).To(BeEmpty())
		Expect(t.Lag(at(2.5))).To(Equal(500 * time.Millisecond))
		Expect(t.Handle(at(2.25), Tick{})).To(Equal([]Action{FetchBody{two}}))
		three := Revision{3, "three"}
		Expect(t.Handle(at(2.3), PeerReported{"p", three})).To(Equal([]Action{Announce{three}, FetchBody{three}}))
	})

	It("reports one revision with two bodies and a body of an unknown revision", func() {
		reporter := &invariant.Reporter{}
		t, _ := New(at(0), Options{Reporter: reporter})
		t.Handle(at(1), HeadRead{Head: one, RequestedAt: at(0)})
		t.Handle(at(1), PeerReported{"p", Revision{1, "other"}})
		Expect(t.Handle(at(1), BodyReady{two})).To(BeEmpty())
		Expect(reporter.Counts()).To(HaveKeyWithValue(invariant.ConfigurationMonotonic, uint64(2)))
	})

	It("serves nothing while nothing is published", func() {
		t, _ := New(at(0), Options{})
		t.Handle(at(1), HeadRead{RequestedAt: at(0)})
		_, err := t.Serving(at(1))
		Expect(err).To(MatchError(&NotConfirmedError{Reason: StopNothingPublished}))
	})
})
