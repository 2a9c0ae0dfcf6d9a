package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	startedAt time.Time
	mu        sync.Mutex
	file      *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written shows when it is read.
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
