package claimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// appendTimeout bounds how long a claim waits to be written to the log
	// before it is reported as not durable.
	appendTimeout = 1500 * time.Millisecond
	// appendInterval is the minimum time between two appends of one VM. Claims
	// that arrive in between share one record.
	appendInterval = 50 * time.Millisecond
	// maxBatchClaims bounds the claims of one record, and likewise its releases.
	maxBatchClaims = 500
	// retryPeriod is the delay before a failed read is retried, and the interval
	// at which the writer checks for work on its own.
	retryPeriod = 500 * time.Millisecond
	// unloggedAge is the age at which a claim that was not seen in the log is
	// written by any VM that has it in memory.
	unloggedAge = 2 * time.Second
	// maxReleases bounds the releases that wait to be written. A release that is
	// dropped leaves its key claimed at a holder that reads the claim from the log.
	maxReleases = 100_000
	// pollWait is the maximum time that one read waits for new records.
	pollWait = 5 * time.Second
)

type stream interface {
	// Append adds one record. The error is a *recorder.UnavailableError.
	Append(ctx context.Context, stream recorder.Stream, data []byte) (recorder.Offset, error)
	// Read returns the records from the offset on. If there is none, it waits for
	// one, for at most the given time.
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error)
}

type codec interface {
	// EncodeClaims returns the bytes of a record.
	EncodeClaims(b Batch) ([]byte, error)
	// DecodeClaims reads the bytes of a record.
	DecodeClaims(data []byte) (Batch, error)
}

type timers interface {
	Now() timer.Instant
	After(d time.Duration) *timer.Subscription
	Every(d time.Duration) *timer.Subscription
}

// Journal is the controller that writes claims to the log in batches and reads
// the claims of all VMs from it. After an append with an unknown result it reads
// the log before it writes the claims again. Claims have unique ids, so a record
// that is in the log twice has the same effect as once.
type Journal struct {
	ledger *Ledger
	stream stream
	codec  codec
	timers timers
	logger *logger.Logger
	// position is the offset of the next record to read.
	position atomic.Int64
	// upSince is the instant since which calls to the log have succeeded; 0 while
	// the log is down.
	upSince atomic.Int64
	// synced is set once the stream has been read to its head.
	synced atomic.Bool
	// wake notifies the writer of new work.
	wake chan struct{}
	// mu guards pending and releases; it is never held during I/O.
	mu sync.Mutex
	// pending holds the claims to be written, by id.
	pending map[ID]*pendingWrite
	// releases are the released claims to be written, the oldest first.
	releases []Claim
}

// pendingWrite is a claim to be written to the log.
type pendingWrite struct {
	claim Claim
	// done is closed when the claim is in the log.
	done chan struct{}
}

// NewJournal returns a journal that applies the records of the stream to the
// ledger.
func NewJournal(l *Ledger, s stream, c codec, t timers, log *logger.Logger) *Journal {
	return &Journal{
		ledger:  l,
		stream:  s,
		codec:   c,
		timers:  t,
		logger:  log,
		wake:    make(chan struct{}, 1),
		pending: map[ID]*pendingWrite{},
	}
}

// Name returns the controller's name.
func (j *Journal) Name() string { return "claims-journal" }

// Run reads and writes the stream until ctx ends.
func (j *Journal) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		j.follow(ctx)

		return nil
	})
	g.Go(func() error {
		j.write(ctx)

		return nil
	})

	return errors.Wrap(g.Wait(), "running the claims journal")
}

// Position returns the offset of the next record to read.
func (j *Journal) Position() recorder.Offset {
	return recorder.Offset(j.position.Load())
}

// Up reports whether the log is up and for how long calls to it have succeeded.
func (j *Journal) Up(now timer.Instant) (uptime time.Duration, up bool) {
	since := j.upSince.Load()
	if since == 0 {
		return 0, false
	}

	return now.Sub(timer.Instant(since)), true
}

// HasSynced reports whether the stream was read to its head at least once. Until
// then, claims that were made before the start of this VM may be missing.
func (j *Journal) HasSynced() bool { return j.synced.Load() }

// Append writes a claim to the log and reports whether it is there. It waits for
// at most appendTimeout; while the log is down it neither writes nor waits.
func (j *Journal) Append(ctx context.Context, c Claim) bool {
	if j.upSince.Load() == 0 {
		return j.ledger.Durable(c.id)
	}
	w := j.enqueue(c)
	limit := j.timers.After(appendTimeout)
	defer limit.Stop()
	select {
	case <-w.done:
	case <-limit.Due():
	case <-ctx.Done():
	}
	j.mu.Lock()
	delete(j.pending, c.id)
	j.mu.Unlock()

	return j.ledger.Durable(c.id)
}

// Release queues the release of a claim to be written once the log is up. The
// release is dropped if maxReleases are queued.
func (j *Journal) Release(c Claim) {
	j.mu.Lock()
	if len(j.releases) < maxReleases {
		j.releases = append(j.releases, c)
	}
	j.mu.Unlock()
	j.signal()
}

// CatchUp reads the stream to its head. The error wraps that of the stream.
func (j *Journal) CatchUp(ctx context.Context) error {
	for {
		head, err := j.read(ctx, 0)
		if err != nil {
			return err
		}
		if j.Position() >= head {
			return nil
		}
	}
}

func (j *Journal) enqueue(c Claim) *pendingWrite {
	j.mu.Lock()
	w, ok := j.pending[c.id]
	if !ok {
		w = &pendingWrite{
			claim: c,
			done:  make(chan struct{}),
		}
		j.pending[c.id] = w
	}
	j.mu.Unlock()
	j.signal()

	return w
}

func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// follow reads new records until ctx ends.
func (j *Journal) follow(ctx context.Context) {
	for ctx.Err() == nil {
		wait := pollWait
		if j.upSince.Load() == 0 {
			wait = 0 // A reply without delay shows at once that the log is up.
		}
		_, err := j.read(ctx, wait)
		if err == nil {
			continue
		}
		j.pause(ctx, retryPeriod)
	}
}

// read applies the records from the position on and returns the head.
func (j *Journal) read(ctx context.Context, wait time.Duration) (recorder.Offset, error) {
	from := j.Position()
	b, err := j.stream.Read(ctx, recorder.StreamClaims, from, wait)
	var expired *recorder.ExpiredError
	if errors.As(err, &expired) {
		// Claims in expired records are not recovered. The head returned lies
		// beyond the position, so that CatchUp reads on.
		j.advance(expired.First())

		return expired.First() + 1, nil
	}
	if err != nil {
		if ctx.Err() == nil {
			j.markDown(err)
		}

		return 0, errors.Wrap(err, "reading claims")
	}
	now := j.timers.Now()
	for _, r := range b.Records() {
		if batch, err := j.codec.DecodeClaims(r.Data()); err == nil {
			j.ledger.Apply(now, r.Offset(), batch)
		} else {
			j.logger.Log(logger.ClaimsUnreadable, logger.Int("offset", int64(r.Offset())), logger.Failure(err))
		}
		j.advance(r.Offset() + 1)
	}
	j.markUp(now)
	j.wakeWaiters()
	if j.Position() >= b.Head() {
		j.synced.Store(true)
	}

	return b.Head(), nil
}

func (j *Journal) advance(to recorder.Offset) {
	for {
		p := j.position.Load()
		if p >= int64(to) || j.position.CompareAndSwap(p, int64(to)) {
			return
		}
	}
}

// write appends pending claims and releases until ctx ends.
func (j *Journal) write(ctx context.Context) {
	retry := j.timers.Every(retryPeriod)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		case <-retry.Due():
		}
		if j.flush(ctx) {
			j.pause(ctx, appendInterval)
		}
	}
}

// flush appends the next batch as one record and reports whether there was one.
// If the result of the append is unknown, it reads the log to its head.
func (j *Journal) flush(ctx context.Context) bool {
	b := j.nextBatch()
	if len(b.claims) == 0 && len(b.releases) == 0 {
		return false
	}
	data, err := j.codec.EncodeClaims(b)
	if err != nil {
		j.logger.Log(logger.ClaimsUnreadable, logger.Failure(err))

		return true
	}
	offset, err := j.stream.Append(ctx, recorder.StreamClaims, data)
	if err == nil {
		now := j.timers.Now()
		j.ledger.Apply(now, offset, b)
		j.markUp(now)
		j.dropReleases(b)
		j.wakeWaiters()

		return true
	}
	var failed *recorder.UnavailableError
	if errors.As(err, &failed) && failed.OutcomeUnknown() && j.CatchUp(ctx) == nil {
		// The claims that were written have been read from the log; the others,
		// and all releases, go into the next batch.
		j.signal()

		return true
	}
	if ctx.Err() == nil {
		j.markDown(err)
	}

	return true
}

// nextBatch returns the claims and releases to be written next. If no claim is
// pending, it takes claims that an outage left in memory.
func (j *Journal) nextBatch() Batch {
	j.mu.Lock()
	var claims []Claim
	for id, w := range j.pending {
		if len(claims) < maxBatchClaims && !j.ledger.Durable(id) {
			claims = append(claims, w.claim)
		}
	}
	releases := append([]Claim(nil), j.releases[:min(len(j.releases), maxBatchClaims)]...)
	j.mu.Unlock()
	if len(claims) == 0 {
		claims = j.ledger.Unlogged(j.timers.Now().Add(-unloggedAge), maxBatchClaims)
	}

	return NewBatch(claims, releases)
}

// dropReleases removes the releases of a batch that was written.
func (j *Journal) dropReleases(b Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.releases = j.releases[len(b.releases):]
	if len(j.releases) > 0 {
		j.signal()
	}
}

// wakeWaiters ends the waits for claims that are now in the log.
func (j *Journal) wakeWaiters() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, w := range j.pending {
		if j.ledger.Durable(id) {
			close(w.done)
			delete(j.pending, id)
		}
	}
}

func (j *Journal) markUp(now timer.Instant) {
	if j.upSince.CompareAndSwap(0, max(1, int64(now))) {
		j.logger.Log(logger.ClaimsLogged)
		j.signal()
	}
}

func (j *Journal) markDown(err error) {
	if j.upSince.Swap(0) != 0 {
		j.logger.Log(logger.ClaimsInMemory, logger.Failure(err))
	}
}

func (j *Journal) pause(ctx context.Context, d time.Duration) {
	j.timers.After(d).Await(ctx)
}
