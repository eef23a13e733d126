package retrier

import (
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// PreviewRetry returns the reason why no retry follows the attempt, or handler.StopNone if
// only the budget decides. It charges and counts nothing.
func PreviewRetry(now timer.Instant, r RetryState) handler.StopReason { return judge(now, r) }

// PreviewReserve returns the part of the budget that a retry must leave unused.
func (*SharedRetrier) PreviewReserve(timer.Instant, RetryState) tallier.Reserve {
	return tallier.Reserve{}
}

// PreviewReserve returns the part of the budget that a retry must leave unused, as the
// requests noted so far imply.
func (s *SpacedRetrier) PreviewReserve(now timer.Instant, r RetryState) tallier.Reserve {
	return s.reserve(now, r)
}
