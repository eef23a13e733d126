package claimer_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/claimer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
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

// scenario is a sequence of faults and claims in a fleet of four VMs, of which
// vm-0 is the holder at the start.
type scenario struct {
	name  string
	steps func(f *fleet, say func(format string, args ...any))
}

func scenarios() []scenario {
	return append(logScenarios(), outageScenarios()...)
}

func logScenarios() []scenario {
	return []scenario{
		{"log up", func(f *fleet, say func(string, ...any)) {
			c, got := f.ask(1, "k")
			say("vm-1: %s", got)
			_, got = f.ask(2, "k")
			say("vm-2 repeats: %s", got)
			f.nodes[1].sender.Settle(context.Background(), c, false, handler.NewResponse(201, []byte("seat")))
			_, got = f.ask(3, "k")
			say("vm-3 repeats after the answer: %s", got)
		}},
		{"the request did not run", func(f *fleet, say func(string, ...any)) {
			c, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.nodes[1].sender.Settle(context.Background(), c, true, nil)
			_, got = f.ask(2, "k")
			say("vm-2 repeats: %s", got)
			_, got = f.ask(1, "k")
			say("vm-1 repeats: %s", got)
		}},
		{"the log's answers are lost after the write", func(f *fleet, say func(string, ...any)) {
			f.log.set(func() { f.log.lose = 3 })
			for i := range 3 {
				_, got := f.askFor(1, fmt.Sprint("k", i), 5*time.Second)
				say("vm-1: %s", got)
			}
			say("records: %d", f.log.count())
		}},
		{"the log's answers are lost before the write", func(f *fleet, say func(string, ...any)) {
			f.log.set(func() { f.log.refuse = 3 })
			_, got := f.askFor(1, "k", 5*time.Second)
			say("vm-1: %s", got)
			say("records: %d", f.log.count())
		}},
		{"the holder is lost while the log is up", func(f *fleet, say func(string, ...any)) {
			f.see()
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
		}},
		{"holder and sender are lost while the log is up", func(f *fleet, say func(string, ...any)) {
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.nodes[1].dead.Store(true)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at once: %s", got)
			f.clock.ahead.Add(int64(time.Minute))
			_, got = f.ask(3, "k")
			say("vm-3 repeats when the log has been up for a minute: %s", got)
		}},
		{"the lease lapses while the claim is written", func(f *fleet, say func(string, ...any)) {
			f.log.set(func() {
				f.log.onAppend = func() {
					f.log.onAppend = nil
					f.hold(2)
				}
			})
			_, got := f.askFor(1, "k", 3*time.Second)
			say("vm-1: %s", got)
			_, got = f.ask(3, "k")
			say("vm-3 repeats: %s", got)
		}},
	}
}

func outageScenarios() []scenario {
	return []scenario{
		{"the log is down and the holder is lost", func(f *fleet, say func(string, ...any)) {
			f.see()
			f.logDown(true)
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
			_, got = f.ask(3, "other")
			say("vm-3 with a new key: %s", got)
		}},
		{"the log is down and holder and sender are lost", func(f *fleet, say func(string, ...any)) {
			f.see()
			f.logDown(true)
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.nodes[1].dead.Store(true)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
		}},
		{"the log is down and the holder, who also sent, is lost", func(f *fleet, say func(string, ...any)) {
			f.see()
			f.logDown(true)
			_, got := f.ask(0, "k")
			say("vm-0: %s", got)
			f.loseHolder()
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
		}},
		{"the log is down and the holder is alone", func(f *fleet, say func(string, ...any)) {
			_, got := f.ask(0, "before")
			say("vm-0 while all is well: %s", got)
			f.logDown(true)
			for _, n := range f.nodes[1:] {
				n.dead.Store(true)
			}
			_, got = f.ask(0, "k")
			say("vm-0 alone: %s", got)
		}},
		{"the log is down and a fresh VM is made the holder", func(f *fleet, say func(string, ...any)) {
			f.see()
			_, got := f.ask(1, "before")
			say("vm-1 while the log is up: %s", got)
			f.logDown(true)
			_, got = f.ask(1, "k")
			say("vm-1: %s", got)
			f.add()
			f.hold(4)
			_, got = f.ask(3, "before")
			say("vm-3 repeats the first at the fresh holder: %s", got)
			_, got = f.ask(3, "k")
			say("vm-3 repeats the second: %s", got)
		}},
		{"the log is down and two VMs are replaced", func(f *fleet, say func(string, ...any)) {
			f.see()
			f.logDown(true)
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.replace(0)
			f.replace(1)
			f.hold(2)
			_, got = f.ask(3, "k")
			say("vm-3 repeats at the new holder: %s", got)
		}},
		{"a fleet starts while the log is down", func(f *fleet, say func(string, ...any)) {
			f.logDown(true)
			for i := range f.nodes {
				f.replace(i)
			}
			f.hold(0)
			_, got := f.ask(3, "k")
			say("vm-3: %s", got)
		}},
		{"the log comes back after both are lost", func(f *fleet, say func(string, ...any)) {
			f.logDown(true)
			_, got := f.ask(1, "k")
			say("vm-1: %s", got)
			f.logDown(false)
			f.waitFor("the claim is in the log", func() bool { return f.log.count() > 0 })
			f.nodes[1].dead.Store(true)
			f.loseHolder()
			f.clock.ahead.Add(int64(time.Minute))
			_, got = f.ask(3, "k")
			say("vm-3 repeats: %s", got)
		}},
		{"a claim is asked for while the holder changes", func(f *fleet, say func(string, ...any)) {
			f.logDown(true)
			f.nodes[0].slow.Store(true)
			var got string
			done := make(chan struct{})
			go func() {
				_, got = f.askFor(1, "k", 3*time.Second)
				close(done)
			}()
			f.waitFor("the old holder has granted", func() bool { return f.nodes[0].held.Load() > 0 })
			f.hold(2)
			_, repeat := f.ask(3, "k")
			say("vm-3 at the new holder: %s", repeat)
			f.nodes[0].slow.Store(false)
			<-done
			say("vm-1, whose grant was late: %s", got)
		}},
	}
}

// TestFleet compares what a fleet decides under faults with the golden
// transcript. Each line names the VM that asks and tells the decision.
func TestFleet(t *testing.T) {
	list := scenarios()
	texts := make([]bytes.Buffer, len(list))
	t.Run("all", func(t *testing.T) {
		for i, s := range list {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				out := &texts[i]
				fmt.Fprintln(out, s.name)
				s.steps(newFleet(t, 4), func(format string, args ...any) { fmt.Fprintf(out, "  "+format+"\n", args...) })
			})
		}
	})
	var out bytes.Buffer
	for i := range texts {
		out.Write(texts[i].Bytes())
	}
	goldie.New(t).Assert(t, "fleet", out.Bytes())
}
