package ejector

import (
	"math"
	"slices"
)

const (
	// minBaselineRequests is the number of attempts from which a target's
	// share counts towards its service's baseline.
	minBaselineRequests = 5
	// baselinePart is the part of a service's targets that must be better than
	// a target before that target can be an outlier.
	baselinePart = 3
	// minBaseline is the least share that a baseline is taken for.
	minBaseline = 0.01
	// maxBaseline is the share above which the service as a whole has a fault
	// or a load step, and no target of it is an outlier.
	maxBaseline = 0.25

	// severeShort and severeLong are the shares above the baseline, in the
	// short and in the long window, that eject a target.
	severeShort = 0.15
	severeLong  = 0.08
	// mildShort and mildLong reduce its work.
	mildShort = 0.10
	mildLong  = 0.05
	// severeScore and mildScore are the standard deviations above the baseline
	// that the evidence must reach beside the share.
	severeScore = 4.5
	mildScore   = 3.5
	// minBad is the least number of bad attempts that counts as evidence.
	minBad = 4
	// minPathBad in the long window and pathShare in the short one are this
	// VM's bad attempts, in number and as a share, that close a path while VMs
	// elsewhere see a sound target.
	minPathBad = 3
	pathShare  = 0.5
	// trialExcess is the share above the baseline up to which trial requests
	// let a target return.
	trialExcess = 0.10

	// minCleanRequests is the number of attempts from which a VM without a bad
	// one contradicts its peers.
	minCleanRequests = 6
	// contestedPart is the part of all attempts, seen by VMs without a bad one,
	// from which bad results blame paths and not the target.
	contestedPart = 0.25
)

// condition is what the evidence says about a target at one moment.
type condition int

const (
	conditionClean condition = iota
	conditionMild
	conditionSevere
)

// judgement is the evidence about one target, weighed.
type judgement struct {
	condition condition
	// excess is the bad share above the service's baseline in the long window.
	excess float64
	// badness is the larger excess of the two windows; from 0 to 1.
	badness float64
	// requests is the number of attempts in the long window.
	requests uint64
}

// windows are the sums about one target.
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

// baselines are the usual bad shares of a service. A fault or a load step that
// all targets share raises them and makes no target an outlier.
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

// baseline returns the share that a third of the targets stay below.
func baseline(sums []Sum) float64 {
	shares := make([]float64, 0, len(sums))
	for _, s := range sums {
		if s.requests >= minBaselineRequests {
			shares = append(shares, s.Share())
		}
	}
	if len(shares) < 2 {
		return 1
	}
	slices.Sort(shares)

	return max(minBaseline, shares[(len(shares)-1)/baselinePart])
}

// judge weighs the evidence about one target against its service's baselines.
func judge(w windows, b baselines) judgement {
	short, long := w.short.Share()-b.short, w.long.Share()-b.long
	j := judgement{
		excess:   long,
		badness:  max(0, short, long),
		requests: w.long.requests,
	}
	shortScore, longScore := score(w.short, b.short), score(w.long, b.long)
	switch {
	case b.short > maxBaseline || b.long > maxBaseline:
	case short >= severeShort && shortScore >= severeScore, long >= severeLong && longScore >= severeScore:
		j.condition = conditionSevere
	case short >= mildShort && shortScore >= mildScore, long >= mildLong && longScore >= mildScore:
		j.condition = conditionMild
	}

	return j
}

// score returns how many standard deviations the bad attempts lie above the
// baseline. The added 1 keeps few attempts from weighing much.
func score(s Sum, baseline float64) float64 {
	if s.Bad() < minBad {
		return 0
	}
	n := float64(s.requests)

	return (float64(s.Bad()) - n*baseline) / math.Sqrt(n*baseline*(1-baseline)+1)
}

// judgePath weighs this VM's own evidence about a target that is sound as seen
// from elsewhere.
func judgePath(w windows, b baselines) judgement {
	j := judge(w, b)
	j.condition = conditionClean
	if w.long.Bad() >= minPathBad && w.short.Share() >= pathShare && b.short <= maxBaseline {
		j.condition = conditionSevere
	}

	return j
}

// contested reports whether VMs without a bad result saw so large a part of the
// attempts that the bad results of the others blame their paths.
func contested(reporters []Sum) bool {
	total, clean := uint64(0), uint64(0)
	for _, s := range reporters {
		total += s.requests
		if s.requests >= minCleanRequests && s.Bad() == 0 {
			clean += s.requests
		}
	}

	return clean > 0 && float64(clean) >= contestedPart*float64(total)
}
