package measure

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestMeasure(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "measure")
}

// TestCommand runs the command with the arguments in MEASURE_ARGUMENTS, for use
// until the operators' command registers it. Without the variable it checks
// that the command refuses an unknown scenario.
func TestCommand(t *testing.T) {
	app := kingpin.New("monsooncrank", "")
	app.Terminate(nil)
	Register(app)
	if arguments := os.Getenv("MEASURE_ARGUMENTS"); arguments != "" {
		if _, err := app.Parse(append([]string{"measure"}, strings.Fields(arguments)...)); err != nil {
			t.Fatal(err)
		}
		return
	}
	if _, err := app.Parse([]string{"measure", "--scenario", "none"}); err == nil {
		t.Fatal("an unknown scenario was accepted")
	}
}
