package tallier

import (
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Preview is what a VM knows of a limit before a use.
type Preview struct {
	limited bool
	left    float64
	part    float64
}

// Limited reports whether the account has a limit.
func (p Preview) Limited() bool { return p.limited }

// Left returns what the fleet may still use.
func (p Preview) Left() float64 { return p.left }

// Part returns what this VM may still use in the present round.
func (p Preview) Part() float64 { return p.part }

// Allows reports whether one more use is allowed.
func (p Preview) Allows() bool { return !p.limited || suffices(p.left, p.part) }

// Preview returns what is left of the limit if the reserve stays unused. Unlike Check it
// decides on a copy of the account, so that it neither creates nor changes one.
func (t *Tallier) Preview(now timer.Instant, id Account, r Reserve) Preview {
	return t.preview(now, id, r, 0)
}

// PreviewAcquire returns what Acquire would find: what is left once the request is counted.
func (t *Tallier) PreviewAcquire(now timer.Instant, id Account) Preview {
	return t.preview(now, id, Reserve{}, 1)
}

func (t *Tallier) preview(now timer.Instant, id Account, r Reserve, requested float64) Preview {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, limited := t.limits.Limit(id)
	if !limited {
		return Preview{}
	}
	a, known := t.accounts[id]
	if !known {
		a = newAccount(l, t.began, now, t.fleet)
	}
	c := a.limiter.clone()
	c.setLimit(l)
	c.advance(now, t.fleet)
	c.addOwn(requested, 0)
	left, part := c.remaining(t.fleet, r)

	return Preview{
		limited: true,
		left:    left,
		part:    part,
	}
}

func (b *bucket) clone() limiter {
	c := *b

	return &c
}

func (w *window) clone() limiter { return w.copied() }

func (w *window) copied() *window {
	c := *w

	return &c
}

func (s *share) clone() limiter {
	c := *s
	c.fleet, c.own = s.fleet.copied(), s.own.copied()

	return &c
}
