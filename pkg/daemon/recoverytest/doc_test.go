// Package recoverytest tests recovery across several daemons. It runs real daemons
// over loopback TCP against simulated platform services and backend servers. Time
// limits are the targets of the design page where it states one.
package recoverytest

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRecovery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "recovery between daemons")
}
