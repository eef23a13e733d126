package gossiper

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
)

// Evidence is one attempt at a target.
type Evidence struct {
	target  estimator.Key
	outcome estimator.Outcome
}

// NewEvidence returns the evidence of one attempt.
func NewEvidence(target estimator.Key, o estimator.Outcome) Evidence {
	return Evidence{
		target:  target,
		outcome: o,
	}
}

// Target returns the target.
func (e Evidence) Target() estimator.Key { return e.target }

// Outcome returns the outcome.
func (e Evidence) Outcome() estimator.Outcome { return e.outcome }

// Load is the number of requests that one VM has open at a target.
type Load struct {
	target       estimator.Key
	openRequests uint32
}

// NewLoad returns a load.
func NewLoad(target estimator.Key, openRequests uint32) Load {
	return Load{
		target:       target,
		openRequests: openRequests,
	}
}

// Target returns the target.
func (l Load) Target() estimator.Key { return l.target }

// OpenRequests returns the number of open requests.
func (l Load) OpenRequests() uint32 { return l.openRequests }

// Position is the offset up to which one VM has read a topic of the store.
type Position struct {
	topic uint32
	// era is that of next.
	era  subscriber.Era
	next uint32
	// storeLost is set while the store does not answer the VM, and answered where it
	// answered a call lately. Neither is set between two calls.
	storeLost bool
	answered  bool
	// age is the time from that answer to the report; at most answeredTime.
	age time.Duration
}

// NewPosition returns a position in the topic with the given number, of an unknown era.
func NewPosition(topic, next uint32, storeLost, answered bool) Position {
	return Position{
		topic:     topic,
		next:      next,
		storeLost: storeLost,
		answered:  answered,
	}
}

// InEra returns a copy of the position in the era.
func (p Position) InEra(e subscriber.Era) Position {
	p.era = e

	return p
}

// AnsweredBefore returns a copy of the position of a VM that the store answered the time before
// its report.
func (p Position) AnsweredBefore(age time.Duration) Position {
	p.answered = true
	p.age = age

	return p
}

// at returns a copy of the position with the offset of q, and its era.
func (p Position) at(q Position) Position {
	p.era, p.next = q.era, q.next

	return p
}

// Age returns the time from the store's last answer to the report, where Answered is true.
func (p Position) Age() time.Duration { return p.age }

// Era returns the era of the offset.
func (p Position) Era() subscriber.Era { return p.era }

// StoreLost reports whether the store does not answer the VM.
func (p Position) StoreLost() bool { return p.storeLost }

// Answered reports whether the store answered a call of the VM lately.
func (p Position) Answered() bool { return p.answered }

// Topic returns the number of the topic.
func (p Position) Topic() uint32 { return p.topic }

// Next returns the offset up to which the topic was read.
func (p Position) Next() uint32 { return p.next }

// Relay is a batch of a topic that one VM has read from the store and relays to others.
type Relay struct {
	topic uint32
	batch subscriber.Batch
	// passTo holds the addresses of VMs to which the receiver passes the records on.
	passTo []string
}

// passedOnTo returns a copy with the addresses of VMs to which the receiver passes the
// records on.
func (r *Relay) passedOnTo(addresses []string) *Relay {
	c := *r
	c.passTo = addresses

	return &c
}

// NewRelay returns a relay of the topic with the given number, which the receiver passes
// on to the VMs with the addresses.
func NewRelay(topic uint32, b subscriber.Batch, passTo ...string) *Relay {
	return &Relay{
		topic:  topic,
		batch:  b,
		passTo: passTo,
	}
}

// InEra returns a copy of the relay with a batch in the era.
func (r *Relay) InEra(e subscriber.Era) *Relay {
	c := *r
	c.batch = r.batch.InEra(e)

	return &c
}

// PassTo returns the addresses of VMs to which the receiver passes the records on.
func (r *Relay) PassTo() []string { return r.passTo }

// Topic returns the number of the topic.
func (r *Relay) Topic() uint32 { return r.topic }

// Batch returns the records.
func (r *Relay) Batch() subscriber.Batch { return r.batch }

// Report is one message of a VM to others.
type Report struct {
	// startID tells the runs of a VM apart.
	startID uint32
	// sequence numbers the reports of one run from 1.
	sequence uint32
	// leaving is set in the last report of a VM that stops.
	leaving bool
	// regular is set in the report of a round, which holds all loads.
	regular  bool
	counts   []tallier.Count
	loads    []Load
	evidence []Evidence
	marks    []quarantiner.Mark
	// positions are those of the VM in the topics of the store.
	positions []Position
	// requestsEstimates is set where the VM requests risk estimates, and estimates are the
	// answer to such a request.
	requestsEstimates bool
	estimates         []estimator.Estimate
	// relay holds relayed records of a topic; nil without any.
	relay *Relay
	// piece is a part of a relayed record; nil without one.
	piece *Piece
	// spread is set where the receiver passes the report on to the VMs in its data centre.
	spread bool
	// origin is the address of the VM that the report is about, where another VM passed it
	// on; "" where that VM sent it itself.
	origin string
	// digest is that of the requests which the VM has in quarantine; 0 in most reports.
	digest quarantiner.Digest
	// requestsSuspects is set where the VM requests what others know of requests that
	// crashed targets, and suspects are the answer to such a request.
	requestsSuspects bool
	suspects         []quarantiner.Snapshot
}

// ReportSpec lists the attributes of a report, as the accessors of Report describe
// them.
type ReportSpec struct {
	StartID           uint32
	Sequence          uint32
	Leaving           bool
	Regular           bool
	Counts            []tallier.Count
	Loads             []Load
	Evidence          []Evidence
	Marks             []quarantiner.Mark
	Positions         []Position
	RequestsEstimates bool
	Estimates         []estimator.Estimate
	Relay             *Relay
	Piece             *Piece
	Spread            bool
	Origin            string
	Digest            quarantiner.Digest
	RequestsSuspects  bool
	Suspects          []quarantiner.Snapshot
}

// NewReport returns a report.
func NewReport(s ReportSpec) *Report {
	return &Report{
		startID:           s.StartID,
		sequence:          s.Sequence,
		leaving:           s.Leaving,
		regular:           s.Regular,
		counts:            s.Counts,
		loads:             s.Loads,
		evidence:          s.Evidence,
		marks:             s.Marks,
		positions:         s.Positions,
		requestsEstimates: s.RequestsEstimates,
		estimates:         s.Estimates,
		relay:             s.Relay,
		piece:             s.Piece,
		spread:            s.Spread,
		origin:            s.Origin,
		digest:            s.Digest,
		requestsSuspects:  s.RequestsSuspects,
		suspects:          s.Suspects,
	}
}

// spreading returns a copy that the receiver passes on in its data centre.
func (r *Report) spreading() *Report {
	c := *r
	c.spread = true

	return &c
}

// passedOn returns a copy of a report of the VM with the address, as another VM passes it
// on.
func (r *Report) passedOn(origin string) *Report {
	c := *r
	c.spread = false
	c.origin = origin

	return &c
}

// Spread reports whether the receiver passes the report on to the VMs in its data centre.
func (r *Report) Spread() bool { return r.spread }

// Origin returns the address of the VM that the report is about, where another VM passed
// it on, or "".
func (r *Report) Origin() string { return r.origin }

// StartID returns the number that tells the runs of the VM apart.
func (r *Report) StartID() uint32 { return r.startID }

// Sequence returns the number of the report within the run of the VM, from 1.
func (r *Report) Sequence() uint32 { return r.sequence }

// Leaving reports whether the VM stops and this report is its last one.
func (r *Report) Leaving() bool { return r.leaving }

// Regular reports whether the report is that of a round, which holds all loads.
func (r *Report) Regular() bool { return r.regular }

// Counts returns the counts that changed since the last round.
func (r *Report) Counts() []tallier.Count { return r.counts }

// Loads returns the open requests of the VM at each target that has some.
func (r *Report) Loads() []Load { return r.loads }

// Evidence returns attempts that no earlier report holds.
func (r *Report) Evidence() []Evidence { return r.evidence }

// Positions returns the positions of the VM in the topics of the store.
func (r *Report) Positions() []Position { return r.positions }

// RequestsEstimates reports whether the VM requests the risk estimates of others.
func (r *Report) RequestsEstimates() bool { return r.requestsEstimates }

// Estimates returns the risk of targets as the VM estimates it.
func (r *Report) Estimates() []estimator.Estimate { return r.estimates }

// Relay returns the relayed records of a topic, or nil.
func (r *Report) Relay() *Relay { return r.relay }

// Piece returns a part of a relayed record, or nil.
func (r *Report) Piece() *Piece { return r.piece }

// Marks returns the marks of requests that crashed targets or got whole answers.
func (r *Report) Marks() []quarantiner.Mark { return r.marks }

// Digest returns the digest of the requests which the VM has in quarantine, or 0.
func (r *Report) Digest() quarantiner.Digest { return r.digest }

// RequestsSuspects reports whether the VM requests what another one knows of requests that
// crashed targets.
func (r *Report) RequestsSuspects() bool { return r.requestsSuspects }

// Suspects returns what the VM knows of requests that crashed targets.
func (r *Report) Suspects() []quarantiner.Snapshot { return r.suspects }
