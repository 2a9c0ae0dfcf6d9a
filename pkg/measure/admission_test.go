package measure

import (
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
)

var _ = Describe("admission", func() {
	flooded := func(o Operator, admitted bool) *runResult {
		s, p := Scenarios()[2], Policies()[0]
		p.Admission = admitted
		o.WarmUp, o.Horizon = 5*time.Second, 30*time.Second
		return run(&o, &s, &p, 1.3, 1)
	}

	// Guards against missing fair shares: when one account floods the engines, the
	// requests of all other accounts become late.
	It("keeps requests of other accounts in time while the largest account floods the engines", func() {
		with, without := flooded(Kodiclub(), true), flooded(Kodiclub(), false)
		Expect(with.requests).To(Equal(without.requests))
		Expect(without.otherAccountsInTime).To(BeNumerically("<", without.otherAccountRequests*9/10), "the flood must overload the engines")
		Expect(with.otherAccountsInTime - without.otherAccountsInTime).To(BeNumerically(">", with.otherAccountRequests/20))
		Expect(with.lost + without.lost + without.refused).To(BeZero())
	})

	// Guards against deferred requests that are refused, or preempted and never
	// resumed: their callers would get no answer.
	It("answers every deferred request", func() {
		o := Ganda()
		s, p := Scenarios()[3], Policies()[0]
		o.WarmUp, o.Horizon = 5*time.Second, 60*time.Second
		r := run(&o, &s, &p, 1.1, 1)
		Expect(r.refused + r.lost).To(BeZero())
	})
})
