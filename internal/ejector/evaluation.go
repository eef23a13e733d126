package ejector

import (
	"math"
	"slices"
)

const (
	// minBaselineRequests is the least number of attempts with which a target's
	// bad share counts towards its service's baseline.
	minBaselineRequests = 5
	// baselineDivisor places the baseline at the first third of a service's targets
	// in the order of their bad shares. Only a target above it can be an outlier.
	baselineDivisor = 3
	// minBaseline is the lower bound of a baseline.
	minBaseline = 0.01
	// maxBaseline is the baseline above which the service as a whole has a fault or
	// a sudden rise in load, and none of its targets is an outlier.
	maxBaseline = 0.25

	// severeShort and severeLong are the bad shares above the baseline, in the short
	// and in the long window, that eject a target.
	severeShort = 0.15
	severeLong  = 0.08
	// mildShort and mildLong are those that reduce its weight.
	mildShort = 0.10
	mildLong  = 0.05
	// severeScore and mildScore are the standard deviations above the baseline that
	// the same window must reach as well.
	severeScore = 4.5
	mildScore   = 3.5
	// minBad is the least number of bad attempts in a window for its score to count.
	minBad = 4
	// minPathBad and minPathBadShare are the number of this VM's bad attempts in the
	// long window and their share in the short one at which this VM ejects a target
	// that other VMs find healthy.
	minPathBad      = 3
	minPathBadShare = 0.5
	// trialExcess is the bad share above the baseline up to which trial requests let
	// a target return.
	trialExcess = 0.10

	// minCleanRequests is the least number of attempts with which a VM that saw no
	// bad one contradicts its peers.
	minCleanRequests = 6
	// minCleanShare is the share of all attempts, made by VMs that saw no bad one,
	// from which bad results are attributed to paths and not to the target.
	minCleanShare = 0.25
)

// condition classifies a target by its present evidence.
type condition int

const (
	conditionClean condition = iota
	conditionMild
	conditionSevere
)

// evaluation is the result of comparing one target with its service's baselines.
type evaluation struct {
	condition condition
	// excess is the bad share above the service's baseline in the long window.
	excess float64
	// maxExcess is the larger excess of the two windows, from 0 to 1.
	maxExcess float64
	// requests is the number of attempts in the long window.
	requests uint64
}

// windows holds the sums of one target over the short and the long window.
type windows struct {
	short Sum
	long  Sum
}

func (w windows) plus(v windows) windows {
	return windows{
		short: w.short.plus(v.short),
		long:  w.long.plus(v.long),
	}
}

// baselines holds the usual bad shares of a service in the two windows. A fault or
// a sudden rise in load that all targets share raises them and makes no target an
// outlier.
type baselines struct {
	short float64
	long  float64
}

func newBaselines(targets []windows) baselines {
	short := make([]Sum, 0, len(targets))
	long := make([]Sum, 0, len(targets))
	for _, w := range targets {
		short = append(short, w.short)
		long = append(long, w.long)
	}

	return baselines{
		short: baseline(short),
		long:  baseline(long),
	}
}

// baseline returns the bad share that a third of the targets with enough attempts do
// not exceed, but at least minBaseline. It returns 1 if fewer than two targets have
// enough.
func baseline(sums []Sum) float64 {
	shares := make([]float64, 0, len(sums))
	for _, s := range sums {
		if s.requests >= minBaselineRequests {
			shares = append(shares, s.BadShare())
		}
	}
	if len(shares) < 2 {
		return 1
	}
	slices.Sort(shares)

	return max(minBaseline, shares[(len(shares)-1)/baselineDivisor])
}

// evaluate compares the sums of one target with its service's baselines.
func evaluate(w windows, b baselines) evaluation {
	short, long := w.short.BadShare()-b.short, w.long.BadShare()-b.long
	e := evaluation{
		excess:    long,
		maxExcess: max(0, short, long),
		requests:  w.long.requests,
	}
	shortScore, longScore := score(w.short, b.short), score(w.long, b.long)
	switch {
	case b.short > maxBaseline || b.long > maxBaseline:
	case short >= severeShort && shortScore >= severeScore, long >= severeLong && longScore >= severeScore:
		e.condition = conditionSevere
	case short >= mildShort && shortScore >= mildScore, long >= mildLong && longScore >= mildScore:
		e.condition = conditionMild
	}

	return e
}

// score returns how many standard deviations the bad attempts lie above the
// baseline. The added 1 limits the score of a few attempts.
func score(s Sum, baseline float64) float64 {
	if s.Bad() < minBad {
		return 0
	}
	n := float64(s.requests)

	return (float64(s.Bad()) - n*baseline) / math.Sqrt(n*baseline*(1-baseline)+1)
}

// evaluatePath compares this VM's own sums of a target that other VMs find healthy
// with the service's baselines on this VM.
func evaluatePath(w windows, b baselines) evaluation {
	e := evaluate(w, b)
	e.condition = conditionClean
	if w.long.Bad() >= minPathBad && w.short.BadShare() >= minPathBadShare && b.short <= maxBaseline {
		e.condition = conditionSevere
	}

	return e
}

// pathSpecific reports whether VMs that saw no bad result made so large a share of
// the attempts that the bad results of the others are attributed to their paths.
func pathSpecific(reporters []Sum) bool {
	total, clean := uint64(0), uint64(0)
	for _, s := range reporters {
		total += s.requests
		if s.requests >= minCleanRequests && s.Bad() == 0 {
			clean += s.requests
		}
	}

	return clean > 0 && float64(clean) >= minCleanShare*float64(total)
}
