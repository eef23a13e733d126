package encoder

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/gossiper"
	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
)

// The versions of the format of reports; the first byte of each.
const (
	// ReportFormat is the format of most reports.
	ReportFormat = 2
	// ReportFormatQuarantine is that of reports with a part about the quarantine at the end.
	// VMs that do not know it skip these.
	ReportFormatQuarantine = 3
	// ReportFormatEra is that of reports with the eras of their offsets at the end, and
	// ReportFormatEraQuarantine that of those with the part about the quarantine behind them.
	// VMs that do not know them skip these.
	ReportFormatEra           = 4
	ReportFormatEraQuarantine = 5
)

// QuarantineRequest is the bit of the flags of the part about the quarantine that is set if
// the VM requests what others know of suspects.
const QuarantineRequest = 1

// The bits of a report's flags.
const (
	// ReportLeaving is set in the last report of a VM that stops.
	ReportLeaving = 1
	// ReportAsking is set if the VM requests risk estimates.
	ReportAsking = 2
	// ReportRelay is set if the report ends with relayed records.
	ReportRelay = 4
	// ReportPassOn is set if addresses follow the relayed records.
	ReportPassOn = 8
	// ReportSpread is set if the receiver passes the report on in its data centre.
	ReportSpread = 16
	// ReportOrigin is set if the report ends with the address of the VM that it is about.
	ReportOrigin = 32
	// ReportRegular is set in the report of a round.
	ReportRegular = 64
	// ReportPiece is set if the report ends with a piece of a relayed record. VMs that do
	// not know it skip the report, since it is longer than they expect.
	ReportPiece = 128
)

// The bits of a position's flags.
const (
	// PositionLost is set while the store does not answer the VM.
	PositionLost = 1
	// PositionAnswered is set if the store answered the VM lately.
	PositionAnswered = 2
)

const (
	// AnswerAgeShift is the number of the bits of a position's flags below the time since that
	// answer, which is in units of AnswerAgeUnit. VMs that do not know it ignore it.
	AnswerAgeShift = 2
	// AnswerAgeUnit is one 64th of the longest time, rounded up.
	AnswerAgeUnit = 16 * time.Millisecond
	// maxAnswerAge is the greatest number of units.
	maxAnswerAge = 63
)

// RiskScale is the encoded value of a risk of 1; smaller risks are in proportion.
const RiskScale = 255

// Report encodes a report of one VM to others. Numbers are unsigned varints, except for
// hashes, which are big-endian numbers of 4 bytes, and for risks, outcomes and flags of
// one byte. Lists and strings follow their length, which is a varint.
func Report(r *gossiper.Report) []byte {
	b := []byte{reportFormat(r)}
	b = binary.AppendUvarint(b, uint64(r.StartID()))
	b = binary.AppendUvarint(b, uint64(r.Sequence()))
	b = append(b, reportFlags(r))
	b = binary.AppendUvarint(b, uint64(len(r.Counts())))
	for _, c := range r.Counts() {
		b = binary.BigEndian.AppendUint32(b, uint32(c.Account()))
		b = binary.AppendUvarint(b, uint64(c.Requested()))
		b = binary.AppendUvarint(b, uint64(c.Used()))
	}
	b = binary.AppendUvarint(b, uint64(len(r.Loads())))
	for _, l := range r.Loads() {
		b = binary.BigEndian.AppendUint32(b, uint32(l.Target()))
		b = binary.AppendUvarint(b, uint64(l.OpenRequests()))
	}
	b = binary.AppendUvarint(b, uint64(len(r.Evidence())))
	for _, e := range r.Evidence() {
		b = binary.BigEndian.AppendUint32(b, uint32(e.Target()))
		b = append(b, byte(e.Outcome()))
	}
	b = binary.AppendUvarint(b, uint64(len(r.Marks())))
	for _, m := range r.Marks() {
		b = appendText(b, string(m.Fingerprint()))
		b = appendText(b, m.Target())
	}
	b = appendPositions(b, r.Positions())
	b = appendEstimates(b, r.Estimates())
	if r.Relay() != nil {
		b = appendRelay(b, r.Relay())
	}
	if r.Origin() != "" {
		b = appendText(b, r.Origin())
	}
	if r.Piece() != nil {
		b = appendPiece(b, r.Piece())
	}
	if hasEras(r) {
		b = appendEras(b, r)
	}
	if hasQuarantine(r) {
		b = appendQuarantine(b, r)
	}

	return b
}

func reportFormat(r *gossiper.Report) byte {
	switch {
	case hasEras(r) && hasQuarantine(r):
		return ReportFormatEraQuarantine
	case hasEras(r):
		return ReportFormatEra
	case hasQuarantine(r):
		return ReportFormatQuarantine
	}

	return ReportFormat
}

func hasQuarantine(r *gossiper.Report) bool {
	return r.Digest() != 0 || r.RequestsSuspects() || len(r.Suspects()) > 0
}

// eras returns the eras of the offsets in a report: those of the positions, of the relay and of
// the piece.
func eras(r *gossiper.Report) []subscriber.Era {
	list := make([]subscriber.Era, 0, len(r.Positions())+1)
	for _, p := range r.Positions() {
		list = append(list, p.Era())
	}
	if r.Relay() != nil {
		list = append(list, r.Relay().Batch().Era())
	}
	if r.Piece() != nil {
		list = append(list, r.Piece().Era())
	}

	return list
}

// hasEras reports whether the era of an offset in a report is known.
func hasEras(r *gossiper.Report) bool {
	return slices.ContainsFunc(eras(r), func(e subscriber.Era) bool { return e != 0 })
}

// appendEras appends the eras of the offsets, as many as the report has such offsets.
func appendEras(b []byte, r *gossiper.Report) []byte {
	for _, e := range eras(r) {
		b = binary.AppendUvarint(b, uint64(e))
	}

	return b
}

func appendPositions(b []byte, list []gossiper.Position) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, p := range list {
		b = binary.AppendUvarint(b, uint64(p.Topic()))
		b = binary.AppendUvarint(b, uint64(p.Next()))
		age := min(p.Age()/AnswerAgeUnit, maxAnswerAge)
		b = append(b, flagBit(p.StoreLost(), PositionLost)|flagBit(p.Answered(), PositionAnswered)|byte(age)<<AnswerAgeShift)
	}

	return b
}

func appendEstimates(b []byte, list []estimator.Estimate) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, e := range list {
		b = binary.BigEndian.AppendUint32(b, uint32(e.Target()))
		b = append(b, byte(e.Risk()*RiskScale))
		b = appendMillis(b, e.Age())
		b = appendMillis(b, e.FailingFor())
	}

	return b
}

func appendQuarantine(b []byte, r *gossiper.Report) []byte {
	b = append(b, flagBit(r.RequestsSuspects(), QuarantineRequest))
	b = binary.BigEndian.AppendUint32(b, uint32(r.Digest()))
	b = binary.AppendUvarint(b, uint64(len(r.Suspects())))
	for _, s := range r.Suspects() {
		b = appendText(b, string(s.Fingerprint()))
		b = binary.AppendUvarint(b, uint64(len(s.Crashes())))
		for _, c := range s.Crashes() {
			b = appendText(b, c.Target())
			b = appendMillis(b, c.Age())
		}
		since, cleared := s.Cleared()
		b = append(b, flagBit(cleared, 1))
		if cleared {
			b = appendMillis(b, since)
		}
	}

	return b
}

func appendMillis(b []byte, d time.Duration) []byte {
	return binary.AppendUvarint(b, uint64(max(0, d.Milliseconds()))) //nolint:gosec // Not below 0.
}

func appendPiece(b []byte, p *gossiper.Piece) []byte {
	b = binary.AppendUvarint(b, uint64(p.Topic()))
	b = binary.AppendUvarint(b, uint64(p.From()))   //nolint:gosec // Offsets are not below 0.
	b = binary.AppendUvarint(b, uint64(p.To()))     //nolint:gosec // Offsets are not below 0.
	b = binary.AppendUvarint(b, uint64(p.Offset())) //nolint:gosec // Offsets are not below 0.
	b = appendText(b, p.Key())
	b = binary.AppendUvarint(b, uint64(p.Index()))
	b = binary.AppendUvarint(b, uint64(p.Count()))
	b = appendText(b, string(p.Data()))

	return appendTexts(b, p.PassTo())
}

func reportFlags(r *gossiper.Report) byte {
	flags := flagBit(r.Leaving(), ReportLeaving)
	flags |= flagBit(r.RequestsEstimates(), ReportAsking)
	flags |= flagBit(r.Relay() != nil, ReportRelay)
	flags |= flagBit(r.Relay() != nil && len(r.Relay().PassTo()) > 0, ReportPassOn)
	flags |= flagBit(r.Spread(), ReportSpread)
	flags |= flagBit(r.Origin() != "", ReportOrigin)
	flags |= flagBit(r.Regular(), ReportRegular)
	flags |= flagBit(r.Piece() != nil, ReportPiece)

	return flags
}

func appendRelay(b []byte, r *gossiper.Relay) []byte {
	b = binary.AppendUvarint(b, uint64(r.Topic()))
	batch := r.Batch()
	b = binary.AppendUvarint(b, uint64(batch.From())) //nolint:gosec // Offsets are not below 0.
	b = binary.AppendUvarint(b, uint64(batch.To()))   //nolint:gosec // Offsets are not below 0.
	b = binary.AppendUvarint(b, uint64(len(batch.Records())))
	for _, x := range batch.Records() {
		b = binary.AppendUvarint(b, uint64(x.Offset())) //nolint:gosec // Offsets are not below 0.
		b = append(b, flagBit(x.Removed(), 1))
		b = appendText(b, x.Key())
		b = appendText(b, string(x.Value()))
	}
	if len(r.PassTo()) == 0 {
		return b
	}

	return appendTexts(b, r.PassTo())
}

func flagBit(v bool, bit byte) byte {
	if v {
		return bit
	}

	return 0
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendTexts(b []byte, list []string) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, s := range list {
		b = appendText(b, s)
	}

	return b
}
