package config

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/monsooncrank/monsooncrank/coordination/randomtest"
)

const randomFileCount = 6

var declaredNames = regexp.MustCompile(`"(m|a|p|s|b|k|r|fast)"`)

// TestRandomMistakes guards against a mistake that hides another one or is
// reported again at the objects that refer to it. Each file has object names of
// its own and at most one mistake, and each mistake must produce exactly one
// finding at its place. The first case contains every mistake once, so that all
// of them are covered even if only a few cases run.
func TestRandomMistakes(t *testing.T) {
	kinds := make([]string, 0, len(mistakes))
	for _, m := range mistakes {
		kinds = append(kinds, m.description)
	}
	first := true
	randomtest.Check(t, kinds, func(rt *rapid.T, report *randomtest.Report) {
		var files []File
		var want []string
		count := randomFileCount
		if first {
			count = len(mistakes)
		}
		for i := range count {
			name, text := fmt.Sprintf("f%02d", i), validConfig
			if first || rapid.Bool().Draw(rt, "mistaken") {
				m := mistakes[i%len(mistakes)]
				if !first {
					m = mistakes[rapid.IntRange(0, len(mistakes)-1).Draw(rt, "mistake")]
				}
				text = strings.Replace(text, m.old, m.changed, 1)
				want = append(want, fmt.Sprintf("%s:%d %s", name, m.line, m.rule))
				report.Fault(m.description)
			}
			files = append(files, File{name, withUniqueNames(text, i)})
			report.Step()
		}
		first = false
		_, err := Parse(files...)
		var invalid *InvalidError
		var got []string
		if errors.As(err, &invalid) {
			for _, f := range invalid.Findings {
				got = append(got, fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Rule))
			}
		}
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			rt.Fatalf("got %v, want %v:\n%v", got, want, err)
		}
		report.Outcome(fmt.Sprintf("%d findings", len(want)))
	})
}

// withUniqueNames gives the objects of file i names and key hashes that no other
// file uses.
func withUniqueNames(text string, i int) []byte {
	text = declaredNames.ReplaceAllString(text, fmt.Sprintf(`"${1}-%d"`, i))
	return []byte(strings.Replace(text, testKeyHash, fmt.Sprintf("%064x", i), 1))
}
