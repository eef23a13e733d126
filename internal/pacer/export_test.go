package pacer

import "github.com/lagoonkeel/lagoonkeel/internal/timer"

// Tick gives tests access to the periodic update.
func (p *Pacer) Tick(now timer.Instant) { p.tick(now) }

// Buckets returns the number of targets that the pacer remembers.
func (p *Pacer) Buckets() int { return len(p.buckets) }
