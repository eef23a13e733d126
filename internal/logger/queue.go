package logger

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the maximum number of log lines that wait for the output.
	queueLines = 1024
	// flushTime is the longest wait for the output when the process ends.
	flushTime = 300 * time.Millisecond
)

// Queue is a writer that never blocks. It holds lines for the output in a bounded
// queue; lines that arrive while the queue is full are dropped and counted. Queue is
// also the controller that writes the lines to the output.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// stuck is set if writing did not finish within flushTime when the process ended.
	stuck atomic.Bool
}

// NewQueue returns an empty queue of lines for the output.
func NewQueue(out io.Writer) *Queue {
	return &Queue{
		out:   out,
		lines: make(chan []byte, queueLines),
	}
}

// Write queues a copy of one line or drops the line if the queue is full. It returns
// the length of the line and no error in both cases.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Name returns the controller's name.
func (q *Queue) Name() string { return "log-queue" }

// Run writes lines until ctx ends, then flushes the queue.
func (q *Queue) Run(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		q.writeLines(ctx)
	}()
	<-ctx.Done()
	q.await(ended)
	q.Flush()

	return nil
}

// writeLines writes lines to the output until ctx ends.
func (q *Queue) writeLines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-q.lines:
			q.writeLine(line)
		}
	}
}

// Flush writes the queued lines, for flushTime at most. It does nothing if the output
// blocked earlier while the process ended.
func (q *Queue) Flush() {
	if q.stuck.Load() {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case line := <-q.lines:
				q.writeLine(line)
			default:
				return
			}
		}
	}()
	q.await(ended)
}

// await waits until the channel is closed, for flushTime at most, since an output that
// blocks must not keep the process from ending.
func (q *Queue) await(ended <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
		q.stuck.Store(true)
	}
}

// writeLine writes one line and counts it as dropped if the output returns an error.
func (q *Queue) writeLine(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1)
	}
}
