// Package recoverytest proves recovery between whole daemons: real daemons over
// loopback TCP against the stand-ins of the platform and the backend servers.
// The bounds come from the design page where it states a target.
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
