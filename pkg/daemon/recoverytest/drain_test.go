package recoverytest

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/standin/engine"
)

const (
	drainTimeout = 2 * time.Second
	// At 20 ms per token, a stream of longTokens takes longer than the drain and a
	// stream of shortTokens does not.
	longTokens  = 200
	shortTokens = 20
	streamCount = 12
)

// chatWithReattach opens a stream and re-attaches to it at other daemons until it
// ends. It returns the result and the number of re-attachments.
func chatWithReattach(first *member, others []*member, n, maxTokens int, opened func()) (*streamResult, int) {
	s := &streamResult{}
	response, err := first.openStream(fmt.Sprintf("stream %d", n), maxTokens)
	opened()
	if err != nil {
		s.failure = err.Error()
		return s, 0
	}
	s.requestID = response.Header.Get("Monsooncrank-Request")
	s.read(response)
	reattached := 0
	deadline := time.Now().Add(defaultTimeout)
	for !s.finished && s.failure == "" && time.Now().Before(deadline) {
		// Each attempt uses a different daemon.
		response, err := others[(n+reattached)%len(others)].attach(s)
		reattached++
		if err == nil {
			s.read(response)
		}
	}
	return s, reattached
}

var _ = Describe("A planned stop", func() {
	It("gives every caller of a stream its complete answer", func() {
		// Guards against a drain that aborts streams, and against missing or
		// repeated tokens after a caller re-attaches.
		f := newFleet(fleetOptions{daemons: 3, onDemand: 2, decodeStep: 20 * time.Millisecond})
		DeferCleanup(f.close)
		leaving, others := f.members[0], f.members[1:]
		results := make([]*streamResult, streamCount)
		reattached := make([]int, streamCount)
		length := func(n int) int { return []int{longTokens, longTokens, shortTokens}[n%3] }
		var opened, ended sync.WaitGroup
		for n := range streamCount {
			opened.Add(1)
			ended.Go(func() { results[n], reattached[n] = chatWithReattach(leaving, others, n, length(n), opened.Done) })
		}
		opened.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		Expect(leaving.Drain(ctx)).To(Succeed())
		leaving.closeInBackground()
		ended.Wait()
		moved := 0
		for n, s := range results {
			Expect(s.failure).To(BeEmpty(), "stream %d", n)
			Expect(s.finished).To(BeTrue(), "stream %d with %d tokens", n, len(s.tokens))
			text := ""
			for _, token := range s.tokens {
				text += token
			}
			Expect(text).To(Equal(engine.ExpectedText(model, messages(fmt.Sprintf("stream %d", n)), length(n))))
			if reattached[n] > 0 {
				moved++
			}
		}
		Expect(moved).To(BeNumerically(">", 0), "every stream ended before the drain did")
		for _, e := range f.engineLedger.Entries() {
			Expect(e.WrongResume).To(BeFalse())
		}
	})
})
