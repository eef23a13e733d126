package logger_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
)

// BenchmarkLog measures the cost of one log line of a request for the goroutine that
// logs it, and with the queue the total cost for the process.
func BenchmarkLog(b *testing.B) {
	line := func(l *logger.Logger) {
		l.Log(logger.RequestServed, logger.Text("id", "36c671af844ba427"), logger.Int("version", 47), logger.Text("team", "guides"),
			logger.Text("route", "book"), logger.Text("service", "bookings"), logger.Flag("repeatable", false),
			logger.Millis("took", 310*time.Millisecond), logger.Millis("left", 3*time.Second),
			logger.Text("attempts", "i-756b06f8d5:200:309ms:risk=0.02"), logger.Int("status", 200))
	}
	b.Run("line", func(b *testing.B) {
		l := logger.New(io.Discard, logger.FormatLogfmt, "vm-1")
		for b.Loop() {
			line(l)
		}
	})
	b.Run("line and queue", func(b *testing.B) {
		q := logger.NewQueue(io.Discard)
		l := logger.New(q, logger.FormatLogfmt, "vm-1")
		ctx, cancel := context.WithCancel(b.Context())
		ended := make(chan error, 1)
		go func() { ended <- q.Run(ctx) }()
		for b.Loop() {
			line(l)
		}
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
}
