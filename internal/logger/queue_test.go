package logger_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

// blockedOutput is an output whose writes block until released is closed.
type blockedOutput struct {
	released chan struct{}
	out      bytes.Buffer
}

// Write blocks until released is closed, then writes the line.
func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.released

	return o.out.Write(line)
}

// TestQueueBlockedOutput checks that an output that blocks delays neither the
// goroutines that log nor the end of the process, and that dropped lines are counted.
func TestQueueBlockedOutput(t *testing.T) {
	const (
		lines = 2500
		bound = time.Second
	)
	out := &blockedOutput{released: make(chan struct{})}
	defer close(out.released)
	q := logger.NewQueue(out)
	l := logger.New(q, logger.FormatLogfmt, "vm-1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx) }()
	start := time.Now()
	for range lines {
		l.Log(logger.RequestServed)
	}
	if took := time.Since(start); took > bound {
		t.Errorf("logging took %v, at most %v is allowed", took, bound)
	}
	cancel()
	start = time.Now()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	q.Flush()
	if took := time.Since(start); took > bound {
		t.Errorf("stopping the queue took %v, at most %v is allowed", took, bound)
	}
	if q.Dropped() < lines/2 {
		t.Errorf("%d of %d lines are counted as dropped, want at least half", q.Dropped(), lines)
	}
}
