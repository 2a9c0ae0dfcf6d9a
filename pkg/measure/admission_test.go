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

	// Without fair shares a flooding account makes every other one late.
	It("keeps the other accounts in time while the largest floods", func() {
		with, without := flooded(Kodiclub(), true), flooded(Kodiclub(), false)
		Expect(with.requests).To(Equal(without.requests))
		Expect(without.othersInTime).To(BeNumerically("<", without.others*9/10), "the flood must overload the engines")
		Expect(with.othersInTime - without.othersInTime).To(BeNumerically(">", with.others/20))
		Expect(with.lost + without.lost + without.refused).To(BeZero())
	})

	// A refused or preempted deferred request would be lost for its caller.
	It("answers every deferred request", func() {
		o := Ganda()
		s, p := Scenarios()[3], Policies()[0]
		o.WarmUp, o.Horizon = 5*time.Second, 60*time.Second
		r := run(&o, &s, &p, 1.1, 1)
		Expect(r.refused + r.lost).To(BeZero())
	})
})
