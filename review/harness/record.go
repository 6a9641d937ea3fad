package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex // guards file
	file  *os.File
	began time.Time
}

// newRecord creates record.txt in the folder of a case.
func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// add appends a line.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}
