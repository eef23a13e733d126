package assembler

import "github.com/lagoonkeel/lagoonkeel/internal/queuer"

// newQueue builds the fair queue towards upstreams.
func newQueue(v *VM) *queuer.Queuer {
	return queuer.New(v.timers, queuer.NewPart(v.members))
}
