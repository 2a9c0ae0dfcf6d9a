package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
)

// BenchmarkCheck measures the check that each request passes, with as many
// suspects as a crash of many servers leaves.
func BenchmarkCheck(b *testing.B) {
	for _, suspects := range []int{0, 100, 10000} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			now := time.Unix(1000, 0)
			core := quarantine.New(quarantine.DefaultOptions())
			for i := range suspects {
				core.RecordCrash(now, quarantine.Fingerprint(fmt.Sprint(i)), fmt.Sprint("s", i%100), 0)
			}
			f := quarantine.FingerprintOf("account", []byte("body"))
			for b.Loop() {
				core.Check(now, f)
			}
		})
	}
}

// BenchmarkMerge measures the merge of an entry that a peer has sent, after the
// first crash of a request and after the second. All requests ran on the same
// servers, so that each may be the alternative suspect of another.
func BenchmarkMerge(b *testing.B) {
	const merges = 4000
	for crashes := range 2 {
		b.Run(fmt.Sprintf("crashes=%d", crashes+1), func(b *testing.B) {
			now := time.Unix(1000, 0)
			servers := []string{"s1", "s2"}[:crashes+1]
			var core *quarantine.Core
			for i := 0; b.Loop(); i++ {
				if i%merges == 0 {
					core = quarantine.New(quarantine.DefaultOptions())
				}
				core.Merge(now, "peer", quarantine.Entry{Fingerprint: quarantine.Fingerprint(fmt.Sprint(i % merges)), Servers: servers, LastCrash: now})
			}
		})
	}
}

// BenchmarkSince measures the entries of a message to a peer that has them all.
func BenchmarkSince(b *testing.B) {
	now := time.Unix(1000, 0)
	core := quarantine.New(quarantine.DefaultOptions())
	for i := range 10000 {
		core.RecordCrash(now, quarantine.Fingerprint(fmt.Sprint(i)), "s", 0)
	}
	_, span := core.Since(changelog.Position{}, "peer", true, 20000)
	for b.Loop() {
		core.Since(span.End(), "peer", true, 128)
	}
}
