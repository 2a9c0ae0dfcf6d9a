package quarantine_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
)

// TestARequestWithAnotherQueryIsTheSameOne guards against a request that crashes servers
// and escapes the quarantine because each try carries another query.
func TestARequestWithAnotherQueryIsTheSameOne(t *testing.T) {
	g := NewWithT(t)
	r := quarantine.NewRecognition()
	g.Expect(r.Fingerprint("path", "path?page=1")).To(Equal(quarantine.Fingerprint("path")))
	g.Expect(r.Fingerprint("path", "path?page=2")).To(Equal(quarantine.Fingerprint("path")))
}

// TestQueriesOfAResourceInUseAreToldApart guards against one query that crashes servers
// and makes all others of the same resource suspect, although those complete.
func TestQueriesOfAResourceInUseAreToldApart(t *testing.T) {
	g := NewWithT(t)
	r := quarantine.NewRecognition()
	r.Completed("path")
	g.Expect(r.Fingerprint("path", "path?page=1")).To(Equal(quarantine.Fingerprint("path?page=1")))
	g.Expect(r.Fingerprint("other", "other?page=1")).To(Equal(quarantine.Fingerprint("other")))
}

// TestAResourceInUseIsNotForgotten guards against a busy resource that is dropped because
// many others have completed since its first answer.
func TestAResourceInUseIsNotForgotten(t *testing.T) {
	g := NewWithT(t)
	r := quarantine.NewRecognition()
	r.Completed("busy")
	for i := range 10000 {
		r.Completed(quarantine.Fingerprint(fmt.Sprint("path-", i)))
		g.Expect(r.Fingerprint("busy", "busy?x")).To(Equal(quarantine.Fingerprint("busy?x")), "after %d others", i)
	}
	g.Expect(r.Fingerprint("path-0", "path-0?x")).To(Equal(quarantine.Fingerprint("path-0")), "the number of resources is bounded")
}
