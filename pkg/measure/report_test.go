package measure

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
)

// smallReport returns a report of one scenario with made-up cells.
func smallReport() *Report {
	r := &Report{Seeds: 1, Engine: defaultEngineModel}
	for _, p := range Policies() {
		for _, load := range loads {
			r.Cells = append(r.Cells, &Cell{
				Operator: "kodiclub", Scenario: "reclaim", Policy: p.Name, Load: load, ShareInTime: 1.5 - load,
				CostPerThousandInTime: 1 / load, P95FirstTokenSeconds: load,
				firstTokenSeries: []firstTokenPoint{{time.Second, time.Second}, {5 * time.Second, 2 * time.Second}},
			})
		}
	}
	r.summarise()
	r.evaluateTargets()
	return r
}

var _ = Describe("Report", func() {
	It("reports the cost at the highest load that meets the target", func() {
		s := smallReport().Summaries[0]
		Expect(s.Cell.Load).To(Equal(tableLoad))
		Expect(s.TargetLoad).To(Equal(0.5))
		Expect(s.CostAtTarget).To(Equal(2.0))
	})

	It("writes the tables, JSON and plots", func() {
		r, directory := smallReport(), GinkgoT().TempDir()
		var text bytes.Buffer
		Expect(r.WriteText(&text)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("missed"))
		Expect(r.save(directory)).To(Succeed())
		Expect(filepath.Join(directory, "reclaim-kodiclub.svg")).To(BeAnExistingFile())
		Expect(filepath.Join(directory, "latency-kodiclub-reclaim.svg")).To(BeAnExistingFile())
		body, err := os.ReadFile(filepath.Join(directory, reportFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Valid(body)).To(BeTrue())
	})
})

var _ = Describe("recovery", func() {
	reclaim := func(policy int) *runResult {
		o, s, p := Ganda(), Scenarios()[3], Policies()[policy]
		o.WarmUp, o.Horizon = 5*time.Second, 60*time.Second
		return run(&o, &s, &p, 0.5, 1)
	}

	It("migrates streams out of a reclaimed zone and recomputes less than a restart", func() {
		own, baseline := reclaim(0), reclaim(2)
		Expect(own.actions[actionMigrate]).To(BeNumerically(">", 0))
		Expect(own.lost + baseline.lost).To(BeZero())
		Expect(baseline.recomputedAfterLoss).To(BeNumerically(">", 0))
		Expect(own.recomputedAfterLoss).To(BeNumerically("<", baseline.recomputedAfterLoss))
	})
})
