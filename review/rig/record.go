// Package rig holds what the scripts of the review share: gates as processes, with the settings
// that the deploy file's template gives them, stand-ins of replicas, and the record of a run.
package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the record of a run: what was sent, answered and run, a line each.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the directory of the case.
func NewRecord(directory string) (*Record, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Logf adds a line, with the seconds since the start of the run.
func (r *Record) Logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Sayf adds a line and prints it.
func (r *Record) Sayf(format string, arguments ...any) {
	r.Logf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() } // lines are written at once
