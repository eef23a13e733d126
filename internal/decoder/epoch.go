package decoder

import (
	"math"
	"strconv"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
)

const (
	incarnationBase = 16
	incarnationBits = 64
)

// Epoch decodes the log record that begins an epoch. The error is manifester.Faults.
func Epoch(data []byte) (*member.Record, error) {
	r, c, err := openRoot(data)
	if err != nil {
		return nil, err
	}
	spec := member.RecordSpec{
		Base:   recorder.Offset(r.integer("base", -1, -1, math.MaxInt64)),
		Epoch:  uint64(r.integer("epoch", 0, 1, math.MaxInt64)),
		Proof:  r.incarnations("proof"),
		Listed: r.incarnations("listed"),
		Forced: r.boolean("forced"),
	}
	r.objects("members", func(o *reader) {
		spec.Members = append(spec.Members, readMember(o))
	})
	r.close()
	if err := c.err(); err != nil {
		return nil, err
	}

	return member.NewRecord(spec), nil
}

func readMember(r *reader) member.VM {
	return member.NewVM(
		member.ID(r.nonEmptyText("id")),
		r.parseIncarnation(r.pathOf("incarnation"), r.text("incarnation")),
		r.nonEmptyText("address"),
		r.text("dataCentre"),
	)
}

func (r *reader) incarnations(name string) []member.Incarnation {
	texts := r.texts(name)
	list := make([]member.Incarnation, 0, len(texts))
	for _, t := range texts {
		list = append(list, r.parseIncarnation(r.pathOf(name), t))
	}

	return list
}

func (r *reader) parseIncarnation(path, text string) member.Incarnation {
	i, err := strconv.ParseUint(text, incarnationBase, incarnationBits)
	if err != nil {
		r.collector.add(path, "the value "+strconv.Quote(text)+" is not an incarnation", "up to 16 hexadecimal digits")
	}

	return member.Incarnation(i)
}
