// Package gossiper exchanges reports among the VMs of the fleet: observed
// attempts, open requests, use of limits, quarantine marks and read positions.
// A report is one datagram. It is neither acknowledged nor sent again; the next
// report makes up for a lost one.
package gossiper

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// tickInterval is the length of a tick. A round has one tick, or more in a large
	// fleet; see roundTicks. A VM sends at most one regular report in each round.
	tickInterval = 500 * time.Millisecond
	// heartbeatTicks is the number of ticks after which a VM that has nothing to report
	// sends a report at its next round, which shows the others that it is alive.
	heartbeatTicks = 2
	// warmUpTicks is the number of ticks that a VM needs after its start to receive
	// reports from the VMs that run already.
	warmUpTicks = 2
	// broadcastRounds is the number of rounds between the reports that go to all
	// known VMs, also to those that have not been heard within goneTimeout.
	broadcastRounds = 8
	// answeredTime is the time for which reports state that the store answered a call. It
	// is two ticks, since a report may be lost or left out.
	answeredTime = 2 * tickInterval
	// skipLogInterval is the shortest time between two log lines about datagrams that were
	// skipped, as anyone may send them.
	skipLogInterval = time.Second
	// maxDatagram is the size, in bytes, of the buffer that reports are received in.
	maxDatagram = 8 << 10
	// maxEvidence and maxEstimates bound the lists of one report, so that it fits
	// one packet.
	maxEvidence  = 200
	maxEstimates = 120
	// maxDirectRelays is the number of VMs up to which a VM relays records to each of
	// them itself.
	maxDirectRelays = 15
	// maxRelay bounds, in bytes, the records or the piece of one that one report relays.
	maxRelay = 1200
	// maxEstimateRequests bounds how often a new VM requests risk estimates from
	// others, and estimateSources is the number of VMs that it sends each request to.
	maxEstimateRequests = 8
	estimateSources     = 2
)

type clock interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// codec encodes and decodes reports.
type codec interface {
	Encode(r *Report) []byte
	Decode(data []byte) (*Report, error)
}

// riskEstimator estimates the risk of targets from the attempts of all VMs.
type riskEstimator interface {
	// ObserveRemote adds an attempt of another VM.
	ObserveRemote(now timer.Instant, k estimator.Key, o estimator.Outcome)
	// Estimates returns the risk estimates of this VM, and Merge takes over those of
	// another VM.
	Estimates(now timer.Instant) []estimator.Estimate
	Merge(now timer.Instant, list []estimator.Estimate)
}

// rejectionObserver receives the attempts of the other VMs as evidence about the
// rejection rates of targets.
type rejectionObserver interface {
	Observe(now timer.Instant, k estimator.Key, o estimator.Outcome)
}

// noticeObserver receives what targets stated about themselves to other VMs.
type noticeObserver interface {
	ObserveNotice(now timer.Instant, k estimator.Key, o estimator.Outcome)
}

// quarantine refuses requests that crash targets.
type quarantine interface {
	// Apply takes in a mark from another VM.
	Apply(m quarantiner.Mark)
	// Digest identifies the requests in quarantine; 0 without any.
	Digest() quarantiner.Digest
	// Snapshots returns what this VM knows of requests that crashed targets, those in
	// quarantine first. Merge takes over what another VM knows, and returns what that VM
	// does not know of them.
	Snapshots() []quarantiner.Snapshot
	Merge(list []quarantiner.Snapshot) []quarantiner.Snapshot
}

// loadFunc returns the open requests of this VM at each target.
type loadFunc func() []Load

// reader reads a topic of the store.
type reader interface {
	// Position returns the offset up to which the topic has been read, and its era. Lost
	// reports whether the store does not answer this VM.
	Position() (subscriber.Era, subscriber.Offset)
	Lost() bool
	// Topic returns the name of the topic.
	Topic() string
	// Silence returns the time since the store last answered this VM; 0 before it did.
	Silence() time.Duration
	// NotePeerPosition notes that another VM has read up to the offset of the era, and
	// NotePeerReached that the store answered that VM at the given time before now.
	NotePeerPosition(e subscriber.Era, to subscriber.Offset)
	NotePeerReached(age time.Duration)
	// ApplyForwarded applies a batch that another VM has read.
	ApplyForwarded(b subscriber.Batch)
}

// Spec lists the dependencies and settings of a gossiper.
type Spec struct {
	// Conn is the socket on which reports are sent and received, and Self its
	// address as the other VMs know it.
	Conn net.PacketConn
	Self string
	// DataCentre is that of this VM.
	DataCentre string
	// StartID tells the runs of this VM apart.
	StartID   uint32
	Codec     codec
	Clock     clock
	Tallier   *tallier.Tallier
	Estimator riskEstimator
	// Rejections is nil where the rejection rates of targets are not used.
	Rejections rejectionObserver
	Notices    noticeObserver
	Quarantine quarantine
	Loads      loadFunc
	Logger     *logger.Logger
	// MaxRelayedRecord is the length, in bytes, up to which a record that does not fit a
	// packet is relayed in pieces; 0 if none is.
	MaxRelayedRecord int
}

// Gossiper is the controller that sends and receives reports.
type Gossiper struct {
	spec Spec
	// mu guards what follows.
	mu       sync.Mutex
	peers    *peerTable
	sequence uint32
	// ticks and rounds count those since the start. lastSent is the tick of the last
	// regular report.
	ticks    int
	rounds   int
	lastSent int
	// previousPositions are the positions of this VM as of the last round. They are
	// reported one round late, so that relayed records reach the others first.
	previousPositions []Position
	// pendingEvidence goes out with the next regular report.
	pendingEvidence []Evidence
	// estimateRequestsLeft is the number of times that this VM still requests risk
	// estimates; between 0 and maxEstimateRequests.
	estimateRequestsLeft int
	// openRequests holds the open requests of the other VMs at each target. Readers take no
	// lock: the map is replaced and never changed.
	openRequests atomic.Pointer[map[estimator.Key]int]
	// vmCounts is as of the last round; it is replaced and never changed.
	vmCounts atomic.Pointer[vmCounts]
	// listRead is set while the VM list, as it was read last, holds this VM's own entry.
	listRead atomic.Bool
	// storeReturned is set once the store has come back from an older copy.
	storeReturned atomic.Bool
	// unlisted holds at most one load of the VM list that lacked this VM's own entry.
	unlisted chan struct{}
	// skipped counts the datagrams that were not applied. lastSkipLogged is when the last
	// of them was logged; only the goroutine that receives uses it.
	skipped        metrics.Counter
	lastSkipLogged timer.Instant
	// pieces joins the pieces of relayed records; only the goroutine that receives uses it.
	pieces collector
	// lastSuspectsRequest is when this VM last requested snapshots of another one; 0 before.
	// Only the goroutine that receives uses it.
	lastSuspectsRequest timer.Instant
	// readers are set before Run. The index of a reader is the number of its topic.
	readers []reader
}

// New returns a gossiper that knows no other VM.
func New(s Spec) *Gossiper {
	g := &Gossiper{
		spec:                 s,
		peers:                newPeerTable(),
		estimateRequestsLeft: maxEstimateRequests,
		skipped:              metrics.NewCounter(),
		unlisted:             make(chan struct{}, 1),
	}
	g.openRequests.Store(&map[estimator.Key]int{})
	g.vmCounts.Store(&vmCounts{
		heard: 1,
		known: 1,
	})

	return g
}

// Each calls f with the name and the value of each counter.
func (g *Gossiper) Each(f func(name string, n metrics.Counter)) { f("reports.skipped", g.skipped) }

// Name returns the controller's name.
func (g *Gossiper) Name() string { return "gossiper" }

// Run sends and receives reports until ctx ends. It then announces that this VM
// leaves and closes the socket.
func (g *Gossiper) Run(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.receiveReports()
	}()
	g.spec.Clock.Every(tickInterval).Each(ctx, g.tick)
	g.announceLeaving()
	err := g.spec.Conn.Close()
	<-ended

	return errors.Wrap(err, "closing the gossip socket")
}

// announceLeaving tells the other VMs that this one stops.
func (g *Gossiper) announceLeaving() {
	now := g.spec.Clock.Now()
	g.mu.Lock()
	r := g.newEvidenceReport()
	r.leaving = true
	to := g.recentPeers(now)
	g.mu.Unlock()
	g.spread(r, to)
}

// ReportOutcome reports an attempt of this VM to the others. A served or rejected attempt
// waits for the next regular report, and is dropped where maxEvidence attempts wait
// already. Any other outcome is sent at once, as the other VMs may be about to
// choose the same target. A target that is about to stop is reported twice, because the
// others may never send it a request that would show it to them.
func (g *Gossiper) ReportOutcome(k estimator.Key, o estimator.Outcome) {
	now := g.spec.Clock.Now()
	e := NewEvidence(k, o)
	g.mu.Lock()
	if o == estimator.OutcomeServed || o == estimator.OutcomeShed {
		if len(g.pendingEvidence) < maxEvidence {
			g.pendingEvidence = append(g.pendingEvidence, e)
		}
		g.mu.Unlock()

		return
	}
	if o == estimator.OutcomeLeaving && len(g.pendingEvidence) < maxEvidence {
		g.pendingEvidence = append(g.pendingEvidence, e)
	}
	r := g.newReport()
	r.evidence = []Evidence{e}
	to := g.recentPeers(now)
	g.mu.Unlock()
	g.spread(r, to)
}

// Broadcast sends to the other VMs the mark of a request that crashed a target or
// got a whole answer.
func (g *Gossiper) Broadcast(_ context.Context, m quarantiner.Mark) {
	now := g.spec.Clock.Now()
	g.mu.Lock()
	r := g.newReport()
	r.marks = []quarantiner.Mark{m}
	to := g.recentPeers(now)
	g.mu.Unlock()
	g.spread(r, to)
}

// VMCounts returns how many VMs, this one included, are heard and known, as of
// the last round. A VM is heard while its reports arrive.
func (g *Gossiper) VMCounts() (heard, known int) {
	c := g.vmCounts.Load()

	return c.heard, c.known
}

// HeardIn returns the addresses of the other VMs in the data centre that are heard, in no
// particular order.
func (g *Gossiper) HeardIn(dataCentre string) []string {
	now := g.spec.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, p := range g.peers.byAddress {
		if p.dataCentre == dataCentre && !p.left && g.peers.isHeard(now, p) {
			list = append(list, p.address)
		}
	}

	return list
}

// OpenRequests returns the number of open requests of the other VMs at the target,
// according to their last reports.
func (g *Gossiper) OpenRequests(k estimator.Key) int { return (*g.openRequests.Load())[k] }
