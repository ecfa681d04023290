package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since its
// start. Lines about violations also go to standard output.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// seconds returns the time on the record's clock.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// note writes a line to the file only.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", r.seconds(time.Now()), fmt.Sprintf(format, args...))
}

// add writes a line to the file and to standard output.
func (r *record) add(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%8.3f  %s\n", r.seconds(time.Now()), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
