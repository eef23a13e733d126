package ejector

import "sort"

// candidate is one target before the floor is applied.
type candidate struct {
	slots int
	// counted is false for leaving and warming-up targets, which do not count as healthy
	// capacity, whatever their grade.
	counted bool
	// wanted is the grade that the evidence asks for.
	wanted Grade
	// ejected is whether the target is ejected at present.
	ejected bool
	// maxExcess orders targets with the same wanted grade; from 0 to 1.
	maxExcess float64
}

// capacity returns the healthy capacity in slots at the grade.
func (c *candidate) capacity(g Grade) int {
	switch {
	case !c.counted || g == GradeEjected:
		return 0
	case g == GradeReduced:
		return c.slots / 2
	default:
		return c.slots
	}
}

// ejectedHysteresis is added to the excess of targets that are already ejected, so
// that two targets with similar excess do not alternate.
const ejectedHysteresis = 0.1

// plan assigns the wanted grades, the worst target first, as long as the healthy
// capacity in slots does not fall below the floor, which is at least 1. Where the
// floor is reached, the targets with the least excess stay in use. A target that
// cannot be ejected for that reason is reduced if the floor allows it.
func plan(floor int, targets []candidate) []Grade {
	floor = max(floor, 1)
	healthy := 0
	for i := range targets {
		healthy += targets[i].capacity(GradeFull)
	}
	grades := make([]Grade, len(targets))
	order := worstFirst(targets)
	for _, g := range []Grade{GradeEjected, GradeReduced} {
		for _, i := range order {
			c := &targets[i]
			if c.wanted < g || grades[i] != GradeFull {
				continue
			}
			cost := c.capacity(GradeFull) - c.capacity(g)
			if healthy-cost >= floor {
				healthy -= cost
				grades[i] = g
			}
		}
	}

	return grades
}

// worstFirst returns the indexes of the targets in descending order of excess.
func worstFirst(targets []candidate) []int {
	order := make([]int, len(targets))
	for i := range order {
		order[i] = i
	}
	excess := func(i int) float64 {
		if targets[i].ejected {
			return targets[i].maxExcess + ejectedHysteresis
		}

		return targets[i].maxExcess
	}
	sort.SliceStable(order, func(a, b int) bool {
		return excess(order[a]) > excess(order[b])
	})

	return order
}
