package gossiper

import (
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
	target estimator.Key
	open   uint32
}

// NewLoad returns a load.
func NewLoad(target estimator.Key, open uint32) Load {
	return Load{
		target: target,
		open:   open,
	}
}

// Target returns the target.
func (l Load) Target() estimator.Key { return l.target }

// Open returns the number of open requests.
func (l Load) Open() uint32 { return l.open }

// Position is how far one VM has read a topic of the store.
type Position struct {
	topic uint32
	next  uint32
	// lost is set while the store does not answer the VM.
	lost bool
}

// NewPosition returns a position; the topic is given by its number.
func NewPosition(topic, next uint32, lost bool) Position {
	return Position{
		topic: topic,
		next:  next,
		lost:  lost,
	}
}

// Lost reports whether the store does not answer the VM.
func (p Position) Lost() bool { return p.lost }

// Topic returns the number of the topic.
func (p Position) Topic() uint32 { return p.topic }

// Next returns the offset up to which the topic was read.
func (p Position) Next() uint32 { return p.next }

// Relay is a part of a topic of the store that one VM has read.
type Relay struct {
	topic    uint32
	from, to subscriber.Offset
	records  []subscriber.Record
}

// NewRelay returns a relay; the topic is given by its number.
func NewRelay(topic uint32, from, to subscriber.Offset, records []subscriber.Record) *Relay {
	return &Relay{
		topic:   topic,
		from:    from,
		to:      to,
		records: records,
	}
}

// Topic returns the number of the topic.
func (r *Relay) Topic() uint32 { return r.topic }

// From returns the offset from which the records follow each other.
func (r *Relay) From() subscriber.Offset { return r.from }

// To returns the offset after the records.
func (r *Relay) To() subscriber.Offset { return r.to }

// Records returns the records.
func (r *Relay) Records() []subscriber.Record { return r.records }

// Report is what one VM tells the others.
type Report struct {
	// start tells the starts of a VM apart.
	start uint32
	// sequence numbers the reports of one start from 1.
	sequence uint32
	// leaving is set in the last report of a VM that stops.
	leaving  bool
	counts   []tallier.Count
	loads    []Load
	evidence []Evidence
	marks    []quarantiner.Mark
	// positions tell how far the topics of the store were read.
	positions []Position
	// asking is set while the VM asks for the beliefs of others, and beliefs are
	// the answer.
	asking  bool
	beliefs []estimator.Belief
	// relay is a part of a topic; nil without one.
	relay *Relay
}

// ReportSpec lists the attributes of a report.
type ReportSpec struct {
	Start    uint32
	Sequence uint32
	Leaving  bool
	Counts   []tallier.Count
	Loads    []Load
	Evidence []Evidence
	Marks    []quarantiner.Mark
	// Positions tell how far the topics of the store were read.
	Positions []Position
	Asking    bool
	Beliefs   []estimator.Belief
	Relay     *Relay
}

// NewReport returns a report.
func NewReport(s ReportSpec) *Report {
	return &Report{
		start:     s.Start,
		sequence:  s.Sequence,
		leaving:   s.Leaving,
		counts:    s.Counts,
		loads:     s.Loads,
		evidence:  s.Evidence,
		marks:     s.Marks,
		positions: s.Positions,
		asking:    s.Asking,
		beliefs:   s.Beliefs,
		relay:     s.Relay,
	}
}

// Start returns the number that tells the starts of the VM apart.
func (r *Report) Start() uint32 { return r.start }

// Sequence returns the number of the report.
func (r *Report) Sequence() uint32 { return r.sequence }

// Leaving reports whether the VM stops.
func (r *Report) Leaving() bool { return r.leaving }

// Counts returns the counts that changed.
func (r *Report) Counts() []tallier.Count { return r.counts }

// Loads returns the open requests at each target that has some.
func (r *Report) Loads() []Load { return r.loads }

// Evidence returns the attempts since the report before.
func (r *Report) Evidence() []Evidence { return r.evidence }

// Positions returns how far the topics of the store were read.
func (r *Report) Positions() []Position { return r.positions }

// Asking reports whether the VM asks for the beliefs of others.
func (r *Report) Asking() bool { return r.asking }

// Beliefs returns the risks of targets as the VM sees them.
func (r *Report) Beliefs() []estimator.Belief { return r.beliefs }

// Relay returns the part of a topic that comes with the report, or nil.
func (r *Report) Relay() *Relay { return r.relay }

// Marks returns what the VM tells about requests that end targets.
func (r *Report) Marks() []quarantiner.Mark { return r.marks }
