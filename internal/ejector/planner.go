package ejector

import "sort"

// candidate is one target before the floor is applied.
type candidate struct {
	slots int
	// counted is false for leaving and cold targets, which are no healthy
	// capacity whatever their grade.
	counted bool
	// wanted is the grade that the evidence asks for.
	wanted Grade
	// ejected tells that the target is ejected at present.
	ejected bool
	// badness orders targets of one wanted grade; from 0 to 1.
	badness float64
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

// keepEjectedBonus is added to the badness of targets that are ejected already,
// so that two targets of like badness do not take turns.
const keepEjectedBonus = 0.1

// plan grants the wanted grades, the worst target first, as far as the healthy
// capacity stays at the floor or above. Where the floor binds, the least bad
// targets stay. One slot always stays.
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

// worstFirst returns the indexes of the targets in the order of badness.
func worstFirst(targets []candidate) []int {
	order := make([]int, len(targets))
	for i := range order {
		order[i] = i
	}
	rank := func(i int) float64 {
		if targets[i].ejected {
			return targets[i].badness + keepEjectedBonus
		}

		return targets[i].badness
	}
	sort.SliceStable(order, func(a, b int) bool {
		return rank(order[a]) > rank(order[b])
	})

	return order
}
