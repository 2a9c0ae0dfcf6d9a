// Package buildinfo tells which build of the project a process runs.
package buildinfo

import (
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
)

// unknownRevision stands for the commit of a build that was not made in a repository.
const unknownRevision = "unknown"

// revisionLength is the number of characters of a commit that are shown.
const revisionLength = 12

// Revision returns the commit from which this process was built, with "+" if the sources had
// been changed since.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRevision
	}
	return revisionOf(info.Settings)
}

func revisionOf(settings []debug.BuildSetting) string {
	revision, modified := "", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), revisionLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+"
		}
	}
	if revision == "" {
		return unknownRevision
	}
	return revision + modified
}

// NewMetric returns the metric that tells the build, whose value is always 1.
func NewMetric() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "monsooncrank_build_info", Help: "The build of the daemon; the value is always 1.",
		ConstLabels: prometheus.Labels{"revision": Revision()}}, func() float64 { return 1 })
}
