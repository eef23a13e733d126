package claimer_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/claimer"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// fakeLog is an in-memory log with injected faults.
type fakeLog struct {
	mu      sync.Mutex
	records [][]byte
	down    bool
	// loseReplies is the number of appends whose replies are lost after the write;
	// loseCalls is the number of appends that are lost before the write.
	loseReplies int
	loseCalls   int
	changed     chan struct{}
	// afterAppend, if set, is called after each write.
	afterAppend func()
}

func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.records)
}

func (l *fakeLog) Append(_ context.Context, s recorder.Stream, data []byte) (recorder.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, recorder.NewUnavailableError(s, false, errors.New("log is down"))
	}
	if l.loseCalls > 0 {
		l.loseCalls--

		return 0, recorder.NewUnavailableError(s, true, errors.New("call lost before the write"))
	}
	l.records = append(l.records, data)
	close(l.changed)
	l.changed = make(chan struct{})
	if l.afterAppend != nil {
		l.afterAppend()
	}
	if l.loseReplies > 0 {
		l.loseReplies--

		return 0, recorder.NewUnavailableError(s, true, errors.New("reply lost after the write"))
	}

	return recorder.Offset(len(l.records) - 1), nil
}

func (l *fakeLog) Read(ctx context.Context, s recorder.Stream, from recorder.Offset, wait time.Duration) (recorder.Batch, error) {
	l.mu.Lock()
	changed, head, down := l.changed, len(l.records), l.down
	l.mu.Unlock()
	if !down && head <= int(from) && wait > 0 {
		select {
		case <-changed:
		case <-time.After(min(wait, 20*time.Millisecond)):
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return recorder.Batch{}, recorder.NewUnavailableError(s, false, errors.New("log is down"))
	}
	var out []recorder.Record
	for o := int(from); o < len(l.records); o++ {
		out = append(out, recorder.NewRecord(recorder.Offset(o), l.records[o]))
	}

	return recorder.NewBatch(out, 0, recorder.Offset(len(l.records))), nil
}

// clock is the system clock plus an offset that a test can advance.
type clock struct {
	*timer.Service
	offset atomic.Int64
}

func (c *clock) Now() timer.Instant { return c.Service.Now().Add(time.Duration(c.offset.Load())) }

// fleet is a set of VMs that share a log. The test sets the holder of all ranges.
type fleet struct {
	t      *testing.T
	log    *fakeLog
	clock  *clock
	mu     sync.Mutex
	vms    []*testVM
	holder *testVM
	term   uint64
}

// testVM is one VM. It implements the interfaces membership and peers of package claimer.
type testVM struct {
	fleet   *fleet
	vm      member.VM
	holder  *claimer.Holder
	client  *claimer.Client
	journal *claimer.Journal
	dead    atomic.Bool
	// delayReplies delays the replies of this VM to claims while it is set;
	// replyDelayTicks counts the waits of 1 ms.
	delayReplies    atomic.Bool
	replyDelayTicks atomic.Int64
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{
		t: t,
		log: &fakeLog{
			changed: make(chan struct{}),
		},
		clock: &clock{
			Service: timer.NewService(),
		},
	}
	f.run(f.clock.Service)
	for range size {
		f.add()
	}

	return f
}

func (f *fleet) run(c interface {
	Run(ctx context.Context) error
},
) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (f *fleet) add() {
	f.mu.Lock()
	i := len(f.vms)
	f.vms = append(f.vms, nil)
	f.mu.Unlock()
	f.start(i)
}

// start starts a VM, or restarts it with empty memory.
func (f *fleet) start(i int) {
	n := &testVM{
		fleet: f,
		vm:    member.NewVM(member.ID(fmt.Sprintf("vm-%d", i)), 1, fmt.Sprint(i), "kandy"),
	}
	f.mu.Lock()
	if f.vms[i] != nil {
		f.vms[i].dead.Store(true)
	}
	f.vms[i] = n
	if f.holder == nil {
		f.holder = n
	}
	f.mu.Unlock()
	ledger := claimer.NewLedger()
	n.journal = claimer.NewJournal(ledger, f.log, messenger.ClaimCodec{}, f.clock, logger.Discard())
	n.holder = claimer.NewHolder(ledger, n.journal, n, n, f.clock, logger.Discard())
	n.client = claimer.NewClient(n.holder)
	f.run(n.journal)
	f.run(n.holder)
	if !f.log.down {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if n.journal.HasSynced() {
				break
			}
		}
	}
}

// setHolder makes a VM the holder of all ranges in a new term.
func (f *fleet) setHolder(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder = f.vms[i]
	f.term++
}

// failFirstVM stops vm-0, the first holder, and makes vm-2 the holder.
func (f *fleet) failFirstVM() {
	f.vms[0].dead.Store(true)
	f.setHolder(2)
}

func (n *testVM) Active(member.Range) (member.Term, bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()

	return member.NewTerm(n.fleet.term, n.vm.Incarnation()), n.fleet.holder == n
}

func (n *testVM) Holder(member.Range) member.VM {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()

	return n.fleet.holder.vm
}

func (n *testVM) Self() member.VM { return n.vm }

func (n *testVM) Peers() []member.VM {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var others []member.VM
	for _, o := range n.fleet.vms {
		if o != n {
			others = append(others, o.vm)
		}
	}

	return others
}

func (n *testVM) peer(to member.VM) (*testVM, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, o := range n.fleet.vms {
		if o.vm.ID() == to.ID() && !o.dead.Load() && !n.dead.Load() {
			return o, nil
		}
	}

	return nil, errors.New("peer is unreachable")
}

func (n *testVM) Claim(ctx context.Context, to member.VM, c claimer.Claim) (claimer.Decision, error) {
	o, err := n.peer(to)
	if err != nil {
		return claimer.Decision{}, err
	}

	d := o.holder.Claim(ctx, c)
	for o.delayReplies.Load() {
		o.replyDelayTicks.Add(1)
		time.Sleep(time.Millisecond)
	}

	return d, nil
}

func (n *testVM) Settle(_ context.Context, to member.VM, s claimer.Settlement) error {
	o, err := n.peer(to)
	if err != nil {
		return err
	}
	o.holder.Settle(s)

	return nil
}

func (n *testVM) Recall(_ context.Context, to member.VM, r member.Range, from recorder.Offset) ([]claimer.Settlement, error) {
	o, err := n.peer(to)
	if err != nil {
		return nil, err
	}

	return o.client.Recall(r, from)
}

func (n *testVM) Remember(_ context.Context, to member.VM, c claimer.Claim) error {
	o, err := n.peer(to)
	if err != nil {
		return err
	}
	o.holder.Remember(c)

	return nil
}

// begin has a VM claim a key and returns the claim and the decision as text.
func (f *fleet) begin(i int, key string) (claimer.Claim, string) {
	return f.beginFor(i, key, 300*time.Millisecond)
}

func (f *fleet) beginFor(i int, key string, timeout time.Duration) (claimer.Claim, string) {
	c, d := f.vms[i].client.Begin(context.Background(), f.clock.Now().Add(timeout), "guides", key, "f")
	text := d.Verdict().String()
	if d.Verdict() == claimer.VerdictGranted && !d.Durable() {
		text += " in memory"
	}

	return c, text
}

// setLogDown makes the log unavailable or available, and waits until every VM
// has detected it.
func (f *fleet) setLogDown(down bool) {
	f.log.update(func() { f.log.down = down })
	f.waitFor("every VM to detect the state of the log", func() bool {
		for _, n := range f.vms {
			if _, up := n.journal.Up(f.clock.Now()); up == down && !n.dead.Load() {
				return false
			}
		}

		return true
	})
}

// waitForHolderCheck waits for longer than the period at which VMs record the holders of
// ranges (1 s).
func (f *fleet) waitForHolderCheck() {
	time.Sleep(1200 * time.Millisecond)
}

func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatal("timed out waiting for " + what)
}
