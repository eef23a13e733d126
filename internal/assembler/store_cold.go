package assembler

import "github.com/lagoonkeel/lagoonkeel/internal/pacer"

// newPacer returns the pacer of requests to cold targets.
func (v *StoreVM) newPacer() *pacer.Pacer {
	return pacer.New(pacer.Spec{
		Self:  v.settings.Peers(),
		Fleet: v.gossiper,
		Rate:  v.warmUpRate,
		Clock: v.timers,
	})
}

// warmUpRate returns the rate that the configuration in force declares for cold targets of
// the service, or 0 where it declares none.
func (v *StoreVM) warmUpRate(service string) float64 {
	s, declared := v.adopter.Manifest().Service(service)
	if !declared {
		return 0
	}

	return s.WarmUpRate()
}
