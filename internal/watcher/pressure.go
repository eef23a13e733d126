package watcher

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// A service is under pressure where targets rejected at least minRejected, and more than
// the fraction maxRejectedFraction of all, of the fleet's attempts within span.
const (
	minRejected         = 4
	maxRejectedFraction = 0.3
	// PressureWindow is the window of the counts of attempts. A twentieth of it is the
	// precision with which they are counted within span.
	PressureWindow = 5 * time.Second
)

// Pressure counts the attempts at services and those that targets rejected. It is safe for
// concurrent use.
type Pressure struct {
	counts counts
}

// NewPressure returns a Pressure that uses the counts.
func NewPressure(c counts) *Pressure {
	return &Pressure{
		counts: c,
	}
}

// AddAttempt counts an attempt of this VM at a target of the service.
func (p *Pressure) AddAttempt(now timer.Instant, service string, rejected bool) {
	account := tallier.ShedAccount(service)
	p.counts.AddRequest(now, account)
	if rejected {
		p.counts.AddUse(now, account)
	}
}

// Recent returns how many attempts at the service the fleet made within span, and how many
// of them targets rejected.
func (p *Pressure) Recent(now timer.Instant, service string) (attempts, rejected float64) {
	return p.counts.Recent(now, tallier.ShedAccount(service), span)
}

// High reports whether the service is under pressure with these counts.
func (*Pressure) High(attempts, rejected float64) bool {
	return rejected >= minRejected && rejected > maxRejectedFraction*attempts
}
