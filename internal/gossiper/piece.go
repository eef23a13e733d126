package gossiper

import (
	"bytes"
	"slices"

	"github.com/lagoonkeel/lagoonkeel/internal/subscriber"
)

const (
	// maxIncomplete bounds the records of which only some pieces have arrived.
	maxIncomplete = 8
	// maxPieces bounds the pieces of one record.
	maxPieces = 64
)

// Piece is a part of the value of one record that does not fit a packet. A VM that gets
// all pieces of a record applies it like a relayed one; a VM that lacks one reads the
// record from the store once it learns the position of another VM.
type Piece struct {
	topic uint32
	// era is that of the offsets.
	era      subscriber.Era
	from, to subscriber.Offset
	// offset and key are those of the record, with which the offsets end: offset is at least
	// from, and to is the next one.
	offset subscriber.Offset
	key    string
	// index is at least 0 and less than count, the number of pieces of the record.
	index uint32
	count uint32
	// data has at least one byte and at most maxRelay.
	data []byte
	// passTo holds the addresses of VMs to which the receiver passes the piece on.
	passTo []string
}

// PieceSpec lists the attributes of a piece, as the accessors of Piece describe them.
type PieceSpec struct {
	Topic    uint32
	Era      subscriber.Era
	From, To subscriber.Offset
	Offset   subscriber.Offset
	Key      string
	Index    uint32
	Count    uint32
	Data     []byte
	PassTo   []string
}

// NewPiece returns a piece.
func NewPiece(s PieceSpec) *Piece {
	return &Piece{
		topic:  s.Topic,
		era:    s.Era,
		from:   s.From,
		to:     s.To,
		offset: s.Offset,
		key:    s.Key,
		index:  s.Index,
		count:  s.Count,
		data:   s.Data,
		passTo: s.PassTo,
	}
}

// Topic returns the number of the topic.
func (p *Piece) Topic() uint32 { return p.topic }

// InEra returns a copy of the piece in the era.
func (p *Piece) InEra(e subscriber.Era) *Piece {
	c := *p
	c.era = e

	return &c
}

// Era returns the era of the offsets.
func (p *Piece) Era() subscriber.Era { return p.era }

// From returns the offset from which on the topic is complete with this record, and To the
// offset up to which it is; exclusive.
func (p *Piece) From() subscriber.Offset { return p.from }

// To returns the offset up to which the topic is complete with this record; exclusive.
func (p *Piece) To() subscriber.Offset { return p.to }

// Offset returns the offset of the record.
func (p *Piece) Offset() subscriber.Offset { return p.offset }

// Key returns the key of the record.
func (p *Piece) Key() string { return p.key }

// Index returns the number of the piece, from 0.
func (p *Piece) Index() uint32 { return p.index }

// Count returns the number of pieces of the record.
func (p *Piece) Count() uint32 { return p.count }

// Data returns the part of the value.
func (p *Piece) Data() []byte { return p.data }

// PassTo returns the addresses of VMs to which the receiver passes the piece on.
func (p *Piece) PassTo() []string { return p.passTo }

// passedOnTo returns a copy with the addresses of VMs to which the receiver passes the
// piece on.
func (p *Piece) passedOnTo(addresses []string) *Piece {
	c := *p
	c.passTo = addresses

	return &c
}

// valid reports whether the piece can be one of a record.
func (p *Piece) valid() bool {
	return p.count > 0 && p.count <= maxPieces && p.index < p.count && len(p.data) > 0 && len(p.data) <= maxRelay &&
		p.from <= p.offset && p.to == p.offset+1
}

// isOf reports whether both pieces are of the same record and of the same division of it.
func (p *Piece) isOf(q *Piece) bool {
	return p.topic == q.topic && p.era == q.era && p.offset == q.offset && p.from == q.from && p.key == q.key && p.count == q.count
}

// splitRecord returns the pieces of a record with a value that completes the topic from the
// offset of the era on.
func splitRecord(topic uint32, e subscriber.Era, from subscriber.Offset, x subscriber.Record) []*Piece {
	parts := slices.Collect(slices.Chunk(x.Value(), maxRelay))
	pieces := make([]*Piece, len(parts))
	for i, data := range parts {
		pieces[i] = NewPiece(PieceSpec{
			Topic:  topic,
			Era:    e,
			From:   from,
			To:     x.Offset() + 1,
			Offset: x.Offset(),
			Key:    x.Key(),
			Index:  uint32(i),          //nolint:gosec // At most maxPieces.
			Count:  uint32(len(parts)), //nolint:gosec // At most maxPieces.
			Data:   data,
		})
	}

	return pieces
}

// incomplete is a record of which only some pieces have arrived.
type incomplete struct {
	// first is the piece that arrived first.
	first *Piece
	// parts has an entry for each piece; nil where it has not arrived.
	parts [][]byte
	// missing is the number of pieces that have not arrived; above 0.
	missing int
}

// collector joins the pieces of records. It must be used by one goroutine at a time.
type collector struct {
	// records holds at most maxIncomplete records, the oldest first.
	records []*incomplete
}

// add takes in a piece, and returns the record as a relay once all of its pieces have
// arrived; nil before.
func (c *collector) add(p *Piece) *Relay {
	if !p.valid() {
		return nil
	}
	r := c.record(p)
	if r.parts[p.index] != nil {
		return nil
	}
	r.parts[p.index] = p.data
	r.missing--
	if r.missing > 0 {
		return nil
	}
	c.records = slices.DeleteFunc(c.records, func(x *incomplete) bool { return x == r })

	return NewRelay(p.topic, subscriber.NewBatch(p.from, p.to, []subscriber.Record{
		subscriber.NewRecord(p.key, bytes.Join(r.parts, nil), p.offset),
	}).InEra(p.era))
}

// record returns the record that the piece belongs to, which may be new. Then the oldest
// one is dropped if there are too many.
func (c *collector) record(p *Piece) *incomplete {
	for _, r := range c.records {
		if r.first.isOf(p) {
			return r
		}
	}
	r := &incomplete{
		first:   p,
		parts:   make([][]byte, p.count),
		missing: int(p.count),
	}
	c.records = append(c.records, r)
	if len(c.records) > maxIncomplete {
		c.records = c.records[1:]
	}

	return r
}
