package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// journal is the record of a case. It is safe for concurrent use.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	lines *bufio.Writer
	start time.Time
}

func newJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &journal{file: file, lines: bufio.NewWriter(file), start: time.Now()}, nil
}

// printf writes a line with the time in seconds since the start.
func (j *journal) printf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.lines, "%9.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
	_ = j.lines.Flush() // a case without a record fails on close
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.lines.Flush()
	_ = j.file.Close()
}
