package placer

import (
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// candidates returns the targets that may be chosen: those that are listed, have not
// been tried, were not without capacity lately and did not ask for a pause. It also returns
// the cold targets that it left out.
func (p *Placer) candidates(now timer.Instant, c AttemptSpec) (list []candidate, held []*registrar.Member) {
	members := p.spec.Targets.Members(c.Service)
	list = make([]candidate, 0, len(members))
	for _, m := range members {
		switch p.exclusion(now, c, m) {
		case ExclusionNone:
		case ExclusionCold:
			held = append(held, m)

			continue
		default:
			continue
		}
		risk, age, known := p.spec.Risks.Assess(now, m.Key())
		if !known {
			age = maxAge
		}
		list = append(list, candidate{
			member: m,
			risk:   risk,
			age:    min(age, maxAge),
			slots:  slotsOf(now, m),
			open:   float64(p.openPerTarget[m.Key()] + p.spec.RemoteLoad.OpenRequests(m.Key())),
			local:  m.Target().DataCentre() == p.spec.DataCentre,

			rejectionRate: p.rejectionRate(now, m.Key()),
		})
	}

	return list, held
}
