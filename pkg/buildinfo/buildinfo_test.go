package buildinfo

import (
	"runtime/debug"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a build that passes for a commit from which it differs, and against a panic
// where there is no repository.
func TestRevisions(t *testing.T) {
	g := gomega.NewWithT(t)
	commit := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef0123"}
	g.Expect(revisionOf([]debug.BuildSetting{commit, {Key: "vcs.modified", Value: "false"}})).To(gomega.Equal("0123456789ab"))
	g.Expect(revisionOf([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, commit})).To(gomega.Equal("0123456789ab+"))
	g.Expect(revisionOf([]debug.BuildSetting{{Key: "vcs.revision", Value: "01"}})).To(gomega.Equal("01"))
	g.Expect(revisionOf(nil)).To(gomega.Equal("unknown"))
}
