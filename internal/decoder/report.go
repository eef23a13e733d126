package decoder

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/gossiper"
	"github.com/lagoonkeel/lagoonkeel/internal/quarantiner"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
)

// ReportError reports a datagram that is not a valid report.
type ReportError struct {
	reason string
}

// Error implements error.
func (e *ReportError) Error() string { return "the datagram is not a report: " + e.reason }

// cursor reads the entries of a report. After the first failure, every read returns zero.
type cursor struct {
	rest   []byte
	failed bool
}

func (c *cursor) fail() {
	c.failed = true
	c.rest = nil
}

func (c *cursor) octet() byte {
	if len(c.rest) == 0 {
		c.fail()

		return 0
	}
	b := c.rest[0]
	c.rest = c.rest[1:]

	return b
}

// fixed32 reads a big-endian number of 4 bytes.
func (c *cursor) fixed32() uint32 {
	const size = 4
	if len(c.rest) < size {
		c.fail()

		return 0
	}
	v := binary.BigEndian.Uint32(c.rest)
	c.rest = c.rest[size:]

	return v
}

// uvarint reads a number of variable length. Numbers above 32 bits fail.
func (c *cursor) uvarint() uint32 {
	v := c.uvarint64()
	if v > math.MaxUint32 {
		c.fail()

		return 0
	}

	return uint32(v)
}

// uvarint64 reads a number of variable length.
func (c *cursor) uvarint64() uint64 {
	v, n := binary.Uvarint(c.rest)
	if n <= 0 {
		c.fail()

		return 0
	}
	c.rest = c.rest[n:]

	return v
}

func (c *cursor) millis() time.Duration { return time.Duration(c.uvarint()) * time.Millisecond }

// list calls read for each entry of a list. Each entry has at least one byte, so a list
// longer than the rest of the report fails before its entries are read.
func (c *cursor) list(read func()) {
	n := c.uvarint()
	if int(n) > len(c.rest) {
		c.fail()

		return
	}
	for range n {
		read()
	}
}

func (c *cursor) text() string {
	n := int(c.uvarint())
	if n > len(c.rest) {
		c.fail()

		return ""
	}
	s := string(c.rest[:n])
	c.rest = c.rest[n:]

	return s
}

func (c *cursor) texts() []string {
	var list []string
	c.list(func() { list = append(list, c.text()) })

	return list
}

// Report decodes a report of another VM. Evidence with an unknown outcome is skipped. The
// error is a *ReportError.
func Report(data []byte) (*gossiper.Report, error) {
	c := &cursor{
		rest: data,
	}
	format := c.octet()
	if format < encoder.ReportFormat || format > encoder.ReportFormatEraQuarantine {
		return nil, &ReportError{
			reason: "unknown format",
		}
	}
	spec := gossiper.ReportSpec{
		StartID:  c.uvarint(),
		Sequence: c.uvarint(),
	}
	flags := c.octet()
	spec.Leaving = flags&encoder.ReportLeaving != 0
	spec.RequestsEstimates = flags&encoder.ReportAsking != 0
	spec.Regular = flags&encoder.ReportRegular != 0
	spec.Spread = flags&encoder.ReportSpread != 0
	c.list(func() {
		spec.Counts = append(spec.Counts, tallier.NewCount(tallier.Account(c.fixed32()), c.uvarint(), c.uvarint()))
	})
	c.list(func() { spec.Loads = append(spec.Loads, gossiper.NewLoad(estimator.Key(c.fixed32()), c.uvarint())) })
	c.list(func() {
		e := gossiper.NewEvidence(estimator.Key(c.fixed32()), estimator.Outcome(c.octet()))
		if e.Outcome().Valid() {
			spec.Evidence = append(spec.Evidence, e)
		}
	})
	c.list(func() { spec.Marks = append(spec.Marks, readMark(c)) })
	c.list(func() {
		spec.Positions = append(spec.Positions, readPosition(c))
	})
	c.list(func() {
		spec.Estimates = append(spec.Estimates, estimator.NewEstimate(estimator.Key(c.fixed32()),
			float64(c.octet())/encoder.RiskScale, c.millis(), c.millis()))
	})
	if flags&encoder.ReportRelay != 0 {
		spec.Relay = readRelay(c, flags&encoder.ReportPassOn != 0)
	}
	if flags&encoder.ReportOrigin != 0 {
		spec.Origin = c.text()
	}
	if flags&encoder.ReportPiece != 0 {
		spec.Piece = readPiece(c)
	}
	if hasEras(format) {
		readEras(c, &spec)
	}
	if hasQuarantine(format) {
		readQuarantine(c, &spec)
	}
	if c.failed || len(c.rest) > 0 {
		return nil, &ReportError{
			reason: "truncated, malformed or too long",
		}
	}

	return gossiper.NewReport(spec), nil
}

func readPosition(c *cursor) gossiper.Position {
	topic, next, flags := c.uvarint(), c.uvarint(), c.octet()

	p := gossiper.NewPosition(topic, next, flags&encoder.PositionLost != 0, false)
	if flags&encoder.PositionAnswered != 0 {
		return p.AnsweredBefore(time.Duration(flags>>encoder.AnswerAgeShift) * encoder.AnswerAgeUnit)
	}

	return p
}

// hasEras reports whether reports of the format state the eras of their offsets.
func hasEras(format byte) bool {
	return format == encoder.ReportFormatEra || format == encoder.ReportFormatEraQuarantine
}

// hasQuarantine reports whether reports of the format have a part about the quarantine.
func hasQuarantine(format byte) bool {
	return format == encoder.ReportFormatQuarantine || format == encoder.ReportFormatEraQuarantine
}

func readQuarantine(c *cursor, spec *gossiper.ReportSpec) {
	spec.RequestsSuspects = c.octet()&encoder.QuarantineRequest != 0
	spec.Digest = quarantiner.Digest(c.fixed32())
	c.list(func() { spec.Suspects = append(spec.Suspects, readSnapshot(c)) })
}

// readEras reads the eras of the offsets in a report, as many as it has such offsets.
func readEras(c *cursor, spec *gossiper.ReportSpec) {
	for i, p := range spec.Positions {
		spec.Positions[i] = p.InEra(subscriber.Era(c.uvarint64()))
	}
	if spec.Relay != nil {
		spec.Relay = spec.Relay.InEra(subscriber.Era(c.uvarint64()))
	}
	if spec.Piece != nil {
		spec.Piece = spec.Piece.InEra(subscriber.Era(c.uvarint64()))
	}
}

func readRelay(c *cursor, passOn bool) *gossiper.Relay {
	topic, from, to := c.uvarint(), subscriber.Offset(c.uvarint()), subscriber.Offset(c.uvarint())
	var records []subscriber.Record
	c.list(func() {
		offset, removed := subscriber.Offset(c.uvarint()), c.octet() != 0
		key, value := c.text(), []byte(c.text())
		if removed {
			value = nil
		}
		records = append(records, subscriber.NewRecord(key, value, offset))
	})

	var passTo []string
	if passOn {
		passTo = c.texts()
	}

	return gossiper.NewRelay(topic, subscriber.NewBatch(from, to, records), passTo...)
}

func readPiece(c *cursor) *gossiper.Piece {
	return gossiper.NewPiece(gossiper.PieceSpec{
		Topic:  c.uvarint(),
		From:   subscriber.Offset(c.uvarint()),
		To:     subscriber.Offset(c.uvarint()),
		Offset: subscriber.Offset(c.uvarint()),
		Key:    c.text(),
		Index:  c.uvarint(),
		Count:  c.uvarint(),
		Data:   []byte(c.text()),
		PassTo: c.texts(),
	})
}

func readMark(c *cursor) quarantiner.Mark {
	f := quarantiner.Fingerprint(c.text())
	if target := c.text(); target != "" {
		return quarantiner.NewDeath(f, target)
	}

	return quarantiner.NewSurvival(f)
}

func readSnapshot(c *cursor) quarantiner.Snapshot {
	f := quarantiner.Fingerprint(c.text())
	var crashes []quarantiner.Crash
	c.list(func() { crashes = append(crashes, quarantiner.NewCrash(c.text(), c.millis())) })
	s := quarantiner.NewSnapshot(f, crashes...)
	if c.octet() != 0 {
		return s.ClearedBefore(c.millis())
	}

	return s
}
