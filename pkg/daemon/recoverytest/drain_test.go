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
	drainTime = 2 * time.Second
	// longTokens outlast the drain at 20 ms a token, shortTokens do not.
	longTokens  = 200
	shortTokens = 20
	drainSends  = 12
)

// chatOver asks for a stream and re-attaches at other daemons until it ends.
func chatOver(first *member, others []*member, n, maxTokens int, opened func()) (*streamed, int) {
	s := &streamed{}
	response, err := first.open(fmt.Sprintf("stream %d", n), maxTokens)
	opened()
	if err != nil {
		s.wrong = err.Error()
		return s, 0
	}
	s.requestID = response.Header.Get("Monsooncrank-Request")
	s.follow(response)
	reattached := 0
	deadline := time.Now().Add(startPatience)
	for !s.finished && s.wrong == "" && time.Now().Before(deadline) {
		// Each attempt goes to another daemon.
		response, err := others[(n+reattached)%len(others)].attach(s)
		reattached++
		if err == nil {
			s.follow(response)
		}
	}
	return s, reattached
}

var _ = Describe("A planned stop", func() {
	It("gives every caller of a stream its whole answer", func() {
		// Guards against a drain that cuts streams, and against a gap or a
		// repeat where the caller re-attaches.
		f := newFleet(fleetOptions{daemons: 3, onDemand: 2, decodeStep: 20 * time.Millisecond})
		DeferCleanup(f.close)
		leaving, others := f.members[0], f.members[1:]
		results := make([]*streamed, drainSends)
		reattached := make([]int, drainSends)
		length := func(n int) int { return []int{longTokens, longTokens, shortTokens}[n%3] }
		var opened, ended sync.WaitGroup
		for n := range drainSends {
			opened.Add(1)
			ended.Go(func() { results[n], reattached[n] = chatOver(leaving, others, n, length(n), opened.Done) })
		}
		opened.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), drainTime)
		defer cancel()
		Expect(leaving.Drain(ctx)).To(Succeed())
		leaving.end()
		ended.Wait()
		moved := 0
		for n, s := range results {
			Expect(s.wrong).To(BeEmpty(), "stream %d", n)
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
		Expect(moved).To(BeNumerically(">", 0), "no stream outlasted the drain")
		for _, e := range f.engineLedger.Entries() {
			Expect(e.WrongResume).To(BeFalse())
		}
	})
})
