package retrier

import "time"

const (
	// usedRatio and usedExtra are the fractions of the allowed ratio and of the
	// allowed extra retries that the fleet uses. The rest covers the retries that
	// VMs make before they receive each other's counts.
	usedRatio = 0.95
	usedExtra = 0.7
)

// The allowance where the platform's settings state none.
const (
	DefaultRatio  = 0.2
	DefaultExtra  = 50
	DefaultWindow = 10 * time.Second
)

// Allowance is the number of retries that the platform allows for a service.
type Allowance struct {
	// ratio is the number of retries per request; 0 to 1.
	ratio float64
	// extra is the number of additional retries per window; at least 0.
	extra float64
	// window is above 0.
	window time.Duration
}

// NewAllowance returns an allowance of a ratio of retries per request, and of an
// extra number of retries per window.
func NewAllowance(ratio, extra float64, window time.Duration) Allowance {
	return Allowance{
		ratio:  ratio,
		extra:  extra,
		window: window,
	}
}

// PerRequest returns the retries per request that the fleet uses of the
// allowance.
func (a Allowance) PerRequest() float64 { return usedRatio * a.ratio }

// Extra returns the additional retries per window that the fleet uses of the
// allowance.
func (a Allowance) Extra() float64 { return usedExtra * a.extra }

// Window returns the period to which Extra applies.
func (a Allowance) Window() time.Duration { return a.window }
