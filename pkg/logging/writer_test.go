package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/logging"
)

// blocked takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Answers a reader of the log that stands still while a daemon is under load:
// nothing waits for it, and what was dropped is told.
func TestStalledReaderDoesNotBlockWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &blocked{release: make(chan struct{})}
	w := logging.NewWriter(out)
	began := time.Now()
	for range 20_000 {
		n, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(5))
	}
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
	g.Expect(w.Dropped()).To(gomega.BeNumerically(">", 0))
	close(out.release)
	w.Close()
	g.Expect(strings.Count(out.String(), "line\n")).To(gomega.BeNumerically("<=", 8200))
	g.Expect(out.String()).To(gomega.ContainSubstring("log lines dropped: "))
}

// Answers a burst of lines: the volume per second is bounded.
func TestLinesPerSecondAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	w := logging.NewWriter(&out)
	began := time.Now()
	for range 50_000 {
		_, err := w.Write([]byte("x\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	// One second more than has passed may have begun.
	seconds := int(time.Since(began).Seconds()) + 2
	w.Close()
	g.Expect(strings.Count(out.String(), "x\n")).To(gomega.BeNumerically("<=", 3000*seconds))
}
