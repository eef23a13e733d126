// Package drainer keeps which targets are leaving: by the platform's list, or
// by their own word, heard here or by a peer. What the manifest says is not
// its business.
package drainer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/lister"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// stepPeriod is the time between two looks at the list.
	stepPeriod = 250 * time.Millisecond
	// wordLife is how long a target's own word holds after it was last heard.
	wordLife = 30 * time.Second
	// vanishedLife is how long an upstream that was listed as leaving, and is
	// listed no more, counts as leaving.
	vanishedLife = 10 * time.Minute
	// maxWords bounds the words that are kept, in targets.
	maxWords = 4096
)

type platform interface {
	Platform() []lister.VM
}

type ticker interface {
	Every(d time.Duration) *timer.Subscription
}

// Drainer is the controller of leaving targets. Note, Merge and Leaving are
// safe for concurrent use; Step belongs to one goroutine.
type Drainer struct {
	platform platform
	timers   ticker
	logger   *logger.Logger
	mu       sync.Mutex
	// words maps addresses to when their targets last said that they are
	// leaving; guarded by mu.
	words map[string]timer.Instant
	// listed maps the upstreams that the list last called leaving to when it
	// did. One that the list then names no more stays for vanishedLife. It
	// belongs to the goroutine of Step.
	listed map[string]timer.Instant
	// leaving is swapped whenever it changes; never nil.
	leaving atomic.Pointer[map[string]bool]
}

// New returns a drainer that knows of no leaving target.
func New(p platform, t ticker, l *logger.Logger) *Drainer {
	d := &Drainer{
		platform: p,
		timers:   t,
		logger:   l,
		words:    map[string]timer.Instant{},
		listed:   map[string]timer.Instant{},
	}
	d.leaving.Store(&map[string]bool{})

	return d
}

// Name returns the controller's name.
func (d *Drainer) Name() string { return "drainer" }

// Leaving reports whether the target at the address must get no new work.
func (d *Drainer) Leaving(address string) bool {
	return (*d.leaving.Load())[address]
}

// Note takes in that the target at the address said that it is leaving.
func (d *Drainer) Note(now timer.Instant, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(now, address)
}

// Merge takes in what a peer heard.
func (d *Drainer) Merge(now timer.Instant, heard []ejector.Draining) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range heard {
		if h.Age() >= 0 && h.Age() < wordLife {
			d.note(now.Add(-h.Age()), h.Address())
		}
	}
}

func (d *Drainer) note(at timer.Instant, address string) {
	last, ok := d.words[address]
	if (!ok && len(d.words) < maxWords) || (ok && at.After(last)) {
		d.words[address] = at
	}
}

// Draining lists the targets that said that they are leaving, with the age of
// their word.
func (d *Drainer) Draining(now timer.Instant) []ejector.Draining {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]ejector.Draining, 0, len(d.words))
	for a, at := range d.words {
		if now.Sub(at) < wordLife {
			list = append(list, ejector.NewDraining(a, now.Sub(at)))
		}
	}

	return list
}

// Run follows the list until ctx ends.
func (d *Drainer) Run(ctx context.Context) error {
	d.timers.Every(stepPeriod).Each(ctx, d.Step)

	return nil
}

// Step looks at the list and drops words that have grown old.
func (d *Drainer) Step(now timer.Instant) {
	for _, v := range d.platform.Platform() {
		if v.Role() != lister.RoleUpstream {
			continue
		}
		if v.Leaving() {
			d.listed[v.Address()] = now
		} else {
			delete(d.listed, v.Address())
		}
	}
	next := d.spoken(now)
	for a, at := range d.listed {
		if now.Sub(at) >= vanishedLife {
			delete(d.listed, a)

			continue
		}
		next[a] = true
	}
	d.publish(next)
}

// spoken returns the addresses whose word still holds.
func (d *Drainer) spoken(now timer.Instant) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string]bool{}
	for a, at := range d.words {
		if now.Sub(at) >= wordLife {
			delete(d.words, a)

			continue
		}
		next[a] = true
	}

	return next
}

func (d *Drainer) publish(next map[string]bool) {
	last := *d.leaving.Load()
	for a := range next {
		if !last[a] {
			d.logger.Log(logger.TargetLeaving, logger.Text("address", a))
		}
	}
	d.leaving.Store(&next)
}
