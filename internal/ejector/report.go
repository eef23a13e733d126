package ejector

import "time"

// Sum counts the results of the attempts at one target in a window of time.
type Sum struct {
	// requests counts finished and overdue attempts.
	requests uint64
	// failed and slow are disjoint parts of requests; overdue attempts count
	// as slow.
	failed uint64
	slow   uint64
}

// NewSum returns a sum. failed and slow are cut so that together they do not exceed
// requests.
func NewSum(requests, failed, slow uint64) Sum {
	failed = min(failed, requests)

	return Sum{
		requests: requests,
		failed:   failed,
		slow:     min(slow, requests-failed),
	}
}

// Requests returns the number of attempts.
func (s Sum) Requests() uint64 { return s.requests }

// Failed returns the number of failed attempts.
func (s Sum) Failed() uint64 { return s.failed }

// Slow returns the number of slow and overdue attempts.
func (s Sum) Slow() uint64 { return s.slow }

// Bad returns the number of failed, slow and overdue attempts.
func (s Sum) Bad() uint64 { return s.failed + s.slow }

// BadShare returns Bad as a share of the attempts, from 0 to 1.
func (s Sum) BadShare() float64 {
	if s.requests == 0 {
		return 0
	}

	return float64(s.Bad()) / float64(s.requests)
}

func (s Sum) plus(t Sum) Sum {
	return Sum{
		requests: s.requests + t.requests,
		failed:   s.failed + t.failed,
		slow:     s.slow + t.slow,
	}
}

// withOverdue returns the sum with n overdue attempts added.
func (s Sum) withOverdue(n uint64) Sum {
	return Sum{
		requests: s.requests + n,
		failed:   s.failed,
		slow:     s.slow + n,
	}
}

// TargetSum is one VM's evidence about one target.
type TargetSum struct {
	id TargetID
	// short and long are the sums over shortSteps and longSteps.
	short Sum
	long  Sum
}

// NewTargetSum returns the sums of the target over the short and the long window.
func NewTargetSum(id TargetID, short, long Sum) TargetSum {
	return TargetSum{
		id:    id,
		short: short,
		long:  long,
	}
}

// ID returns the identifier of the target.
func (t TargetSum) ID() TargetID { return t.id }

// Short returns the sum over the short window.
func (t TargetSum) Short() Sum { return t.short }

// Long returns the sum over the long window.
func (t TargetSum) Long() Sum { return t.long }

// ServiceMedian is one VM's median of a service's first-byte times.
type ServiceMedian struct {
	id     ServiceID
	median time.Duration
}

// NewServiceMedian returns the median first-byte time of the service.
func NewServiceMedian(id ServiceID, median time.Duration) ServiceMedian {
	return ServiceMedian{
		id:     id,
		median: median,
	}
}

// ID returns the identifier of the service.
func (s ServiceMedian) ID() ServiceID { return s.id }

// Median returns the median first-byte time.
func (s ServiceMedian) Median() time.Duration { return s.median }

// Draining is a draining signal of the target at an address.
type Draining struct {
	address string
	// age is the time since the target sent the signal.
	age time.Duration
}

// NewDraining returns the draining signal that the target at the address sent age ago.
func NewDraining(address string, age time.Duration) Draining {
	return Draining{
		address: address,
		age:     age,
	}
}

// Address returns the IP address and port of the target.
func (d Draining) Address() string { return d.address }

// Age returns the time since the target sent the signal.
func (d Draining) Age() time.Duration { return d.age }

// Report is what one VM sends to its peers. It holds the present sums, not changes
// to them, so that a lost or repeated report does no harm.
type Report struct {
	vm       string
	sums     []TargetSum
	medians  []ServiceMedian
	draining []Draining
}

// NewReport returns the report of the VM with the name.
func NewReport(vm string, sums []TargetSum, medians []ServiceMedian, draining []Draining) *Report {
	return &Report{
		vm:       vm,
		sums:     sums,
		medians:  medians,
		draining: draining,
	}
}

// VM returns the name of the reporting VM.
func (r *Report) VM() string { return r.vm }

// Sums returns the evidence about targets; the caller must not change it.
func (r *Report) Sums() []TargetSum { return r.sums }

// Medians returns the medians of services; the caller must not change them.
func (r *Report) Medians() []ServiceMedian { return r.medians }

// Draining returns the draining signals; the caller must not change them.
func (r *Report) Draining() []Draining { return r.draining }
