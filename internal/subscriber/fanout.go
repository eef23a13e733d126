package subscriber

import "github.com/lagoonkeel/lagoonkeel/internal/timer"

// FanOut is a view that forwards each record to several views.
type FanOut struct {
	// main decides whether records can be used.
	main view
	// others get the records before main, so that they are complete once main is.
	others []view
}

// NewFanOut returns a view that forwards to the others and then to main, and returns the
// results of main.
func NewFanOut(main view, others ...view) *FanOut {
	return &FanOut{
		main:   main,
		others: others,
	}
}

// Replace forwards the newest record of every key.
func (f *FanOut) Replace(now timer.Instant, records []Record) bool {
	for _, v := range f.others {
		v.Replace(now, records)
	}

	return f.main.Replace(now, records)
}

// Update forwards records in the order of their offsets.
func (f *FanOut) Update(now timer.Instant, records []Record) bool {
	for _, v := range f.others {
		v.Update(now, records)
	}

	return f.main.Update(now, records)
}

// StoreReached forwards that the store answered this VM.
func (f *FanOut) StoreReached(now timer.Instant) {
	f.each(func(v view) { v.StoreReached(now) })
}

// StoreLost forwards that the store did not answer this VM.
func (f *FanOut) StoreLost(now timer.Instant) {
	f.each(func(v view) { v.StoreLost(now) })
}

// PeerReached forwards that the store answered another VM lately.
func (f *FanOut) PeerReached(now timer.Instant) {
	f.each(func(v view) { v.PeerReached(now) })
}

// StoreReturned forwards that the store came back from an older copy.
func (f *FanOut) StoreReturned(now, settled timer.Instant) {
	f.each(func(v view) { v.StoreReturned(now, settled) })
}

func (f *FanOut) each(call func(view)) {
	for _, v := range f.others {
		call(v)
	}
	call(f.main)
}
