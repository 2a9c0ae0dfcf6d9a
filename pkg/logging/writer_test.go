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

// blockingWriter blocks each Write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against a stalled reader of the log that blocks a daemon under load,
// and against dropped lines that are not reported in the log.
func TestStalledReaderDoesNotBlockWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &blockingWriter{release: make(chan struct{})}
	w := logging.NewWriter(out)
	start := time.Now()
	for range 20_000 {
		n, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(5))
	}
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second))
	g.Expect(w.Dropped()).To(gomega.BeNumerically(">", 0))
	close(out.release)
	w.Close()
	g.Expect(strings.Count(out.String(), "line\n")).To(gomega.BeNumerically("<=", 8200))
	g.Expect(out.String()).To(gomega.ContainSubstring("log lines dropped: "))
}

// Guards against a burst of lines that exceeds the limit of lines per second.
func TestLinesPerSecondAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	w := logging.NewWriter(&out)
	start := time.Now()
	for range 50_000 {
		_, err := w.Write([]byte("x\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	// The limit applies to calendar seconds, and the loop can touch one more
	// calendar second than the duration rounded up.
	seconds := int(time.Since(start).Seconds()) + 2
	w.Close()
	g.Expect(strings.Count(out.String(), "x\n")).To(gomega.BeNumerically("<=", 3000*seconds))
}
