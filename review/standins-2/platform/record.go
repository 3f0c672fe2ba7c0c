package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one event a line, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// add writes an event that happens now.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt writes an event of a time in the past.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes an event and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
