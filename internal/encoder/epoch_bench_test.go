package encoder_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
)

// BenchmarkEpoch measures the encoding of an epoch record, and the size of the record, for
// several numbers of members.
func BenchmarkEpoch(b *testing.B) {
	for _, n := range []int{3, 18, 77, 2300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members := make([]member.VM, 0, n)
			incarnations := make([]member.Incarnation, 0, n)
			for i := range n {
				v := member.NewVM(member.ID(fmt.Sprintf("vm-%04d", i)), math.MaxUint64-member.Incarnation(i), "10.100.100.100:8081", "central-hills-1")
				members = append(members, v)
				incarnations = append(incarnations, v.Incarnation())
			}
			r := member.NewRecord(member.RecordSpec{
				Epoch:   1,
				Members: members,
				Proof:   incarnations[:n/2+1],
				Listed:  incarnations,
			})
			size := 0
			for b.Loop() {
				data, err := encoder.Epoch(r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/record")
		})
	}
}
