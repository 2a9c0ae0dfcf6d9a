package measure

import (
	"context"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/command"
)

func TestMeasure(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "measure")
}

// Guards against a mistyped scenario name that is silently skipped.
func TestCommandRefusesUnknownScenario(t *testing.T) {
	var out, errOut strings.Builder
	code := command.Run(context.Background(), []string{"measure", "--scenario", "none"}, &out, &errOut, Register)
	if code == command.ExitOK {
		t.Fatal("an unknown scenario was accepted")
	}
}
