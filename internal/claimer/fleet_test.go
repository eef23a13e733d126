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

// fakeLog is an append-only log with faults.
type fakeLog struct {
	mu      sync.Mutex
	records [][]byte
	down    bool
	// lose drops the answers of the next appends, and refuse their writes too.
	lose    int
	refuse  int
	changed chan struct{}
	// onAppend runs after each write.
	onAppend func()
}

func (l *fakeLog) set(change func()) {
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
		return 0, recorder.NewUnavailableError(s, false, errors.New("down"))
	}
	if l.refuse > 0 {
		l.refuse--

		return 0, recorder.NewUnavailableError(s, true, errors.New("lost before the write"))
	}
	l.records = append(l.records, data)
	close(l.changed)
	l.changed = make(chan struct{})
	if l.onAppend != nil {
		l.onAppend()
	}
	if l.lose > 0 {
		l.lose--

		return 0, recorder.NewUnavailableError(s, true, errors.New("lost after the write"))
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
		return recorder.Batch{}, recorder.NewUnavailableError(s, false, errors.New("down"))
	}
	var out []recorder.Record
	for o := int(from); o < len(l.records); o++ {
		out = append(out, recorder.NewRecord(recorder.Offset(o), l.records[o]))
	}

	return recorder.NewBatch(out, 0, recorder.Offset(len(l.records))), nil
}

// clock is the machine's clock, which a test can put forward.
type clock struct {
	*timer.Service
	ahead atomic.Int64
}

func (c *clock) Now() timer.Instant { return c.Service.Now().Add(time.Duration(c.ahead.Load())) }

// fleet is some VMs that share a log. The holder of all ranges is set by hand.
type fleet struct {
	t      *testing.T
	log    *fakeLog
	clock  *clock
	mu     sync.Mutex
	nodes  []*node
	holder *node
	term   uint64
}

// node is one VM; it is its own picture of the membership.
type node struct {
	fleet   *fleet
	vm      member.VM
	holder  *claimer.Holder
	sender  *claimer.Sender
	journal *claimer.Journal
	dead    atomic.Bool
	// slow holds the answers of this VM back; held counts those.
	slow atomic.Bool
	held atomic.Int64
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
	i := len(f.nodes)
	f.nodes = append(f.nodes, nil)
	f.mu.Unlock()
	f.replace(i)
}

// replace starts a VM anew without what the old process remembered.
func (f *fleet) replace(i int) {
	n := &node{
		fleet: f,
		vm:    member.NewVM(member.ID(fmt.Sprintf("vm-%d", i)), 1, fmt.Sprint(i), "kandy"),
	}
	f.mu.Lock()
	if f.nodes[i] != nil {
		f.nodes[i].dead.Store(true)
	}
	f.nodes[i] = n
	if f.holder == nil {
		f.holder = n
	}
	f.mu.Unlock()
	ledger := claimer.NewLedger()
	n.journal = claimer.NewJournal(ledger, f.log, messenger.ClaimCodec{}, f.clock, logger.Discard())
	n.holder = claimer.NewHolder(ledger, n.journal, n, n, f.clock, logger.Discard())
	n.sender = claimer.NewSender(n.holder)
	f.run(n.journal)
	f.run(n.holder)
	if !f.log.down {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if n.journal.Known() {
				break
			}
		}
	}
}

// hold makes a VM the holder in a new term.
func (f *fleet) hold(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder = f.nodes[i]
	f.term++
}

// loseHolder ends vm-0 and makes vm-2 the holder.
func (f *fleet) loseHolder() {
	f.nodes[0].dead.Store(true)
	f.hold(2)
}

func (n *node) Active(member.Range) (member.Term, bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()

	return member.NewTerm(n.fleet.term, n.vm.Incarnation()), n.fleet.holder == n
}

func (n *node) Holder(member.Range) member.VM {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()

	return n.fleet.holder.vm
}

func (n *node) Self() member.VM { return n.vm }

func (n *node) Peers() []member.VM {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var others []member.VM
	for _, o := range n.fleet.nodes {
		if o != n {
			others = append(others, o.vm)
		}
	}

	return others
}

func (n *node) reach(to member.VM) (*node, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, o := range n.fleet.nodes {
		if o.vm.ID() == to.ID() && !o.dead.Load() && !n.dead.Load() {
			return o, nil
		}
	}

	return nil, errors.New("no answer")
}

func (n *node) Claim(ctx context.Context, to member.VM, c claimer.Claim) (claimer.Decision, error) {
	o, err := n.reach(to)
	if err != nil {
		return claimer.Decision{}, err
	}

	d := o.holder.Claim(ctx, c)
	for o.slow.Load() {
		o.held.Add(1)
		time.Sleep(time.Millisecond)
	}

	return d, nil
}

func (n *node) Settle(_ context.Context, to member.VM, s claimer.Settlement) error {
	o, err := n.reach(to)
	if err != nil {
		return err
	}
	o.holder.Settle(s)

	return nil
}

func (n *node) Recall(_ context.Context, to member.VM, r member.Range, from recorder.Offset) ([]claimer.Settlement, error) {
	o, err := n.reach(to)
	if err != nil {
		return nil, err
	}

	return o.sender.Recall(r, from)
}

func (n *node) Remember(_ context.Context, to member.VM, c claimer.Claim) error {
	o, err := n.reach(to)
	if err != nil {
		return err
	}
	o.holder.Remember(c)

	return nil
}

// ask has a VM claim a key at whoever holds it, and tells the decision.
func (f *fleet) ask(i int, key string) (claimer.Claim, string) {
	return f.askFor(i, key, 300*time.Millisecond)
}

func (f *fleet) askFor(i int, key string, patience time.Duration) (claimer.Claim, string) {
	c, d := f.nodes[i].sender.Begin(context.Background(), f.clock.Now().Add(patience), "guides", key, "f")
	text := d.Verdict().String()
	if d.Verdict() == claimer.VerdictGranted && !d.Durable() {
		text += " in memory"
	}

	return c, text
}

// logDown switches the log off and waits until every VM has noticed, or on.
func (f *fleet) logDown(down bool) {
	f.log.set(func() { f.log.down = down })
	f.waitFor("every VM knows the state of the log", func() bool {
		for _, n := range f.nodes {
			if _, up := n.journal.Up(f.clock.Now()); up == down && !n.dead.Load() {
				return false
			}
		}

		return true
	})
}

// see lets every VM note the present holder.
func (f *fleet) see() {
	time.Sleep(1200 * time.Millisecond)
}

func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatal("not in time: " + what)
}
