package assembler

import (
	"math"

	"github.com/lagoonkeel/lagoonkeel/internal/forecaster"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/queuer"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
)

// whereJSON tells where a request would go.
type whereJSON struct {
	ID      string        `json:"id"`
	Version int64         `json:"version"`
	Filters []verdictJSON `json:"filters"`
	// Route and what follows are absent where no route was found.
	Route      string          `json:"route,omitempty"`
	Service    string          `json:"service,omitempty"`
	Split      []shareJSON     `json:"split,omitempty"`
	Degraded   bool            `json:"degraded,omitempty"`
	Rate       *budgetJSON     `json:"rate,omitempty"`
	Queue      *queueJSON      `json:"queue,omitempty"`
	Candidates []candidateJSON `json:"candidates,omitempty"`
	Excluded   []excludedJSON  `json:"excluded,omitempty"`
	Retry      *retryJSON      `json:"retry,omitempty"`
	Hedge      *hedgeJSON      `json:"hedge,omitempty"`
}

type verdictJSON struct {
	Filter string `json:"filter"`
	Result string `json:"result"`
	Code   string `json:"code,omitempty"`
	Reason string `json:"reason,omitempty"`
}

type shareJSON struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// budgetJSON is what is left of a limit, for the fleet and for this VM.
type budgetJSON struct {
	Allowed bool    `json:"allowed"`
	Left    float64 `json:"left"`
	Part    float64 `json:"part"`
}

type queueJSON struct {
	WaitMs  int64 `json:"waitMs"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Bound   int   `json:"bound"`
}

type candidateJSON struct {
	Target      string   `json:"target"`
	DataCentre  string   `json:"dataCentre"`
	Risk        float64  `json:"risk"`
	Open        int      `json:"open"`
	Cost        float64  `json:"cost"`
	Probability float64  `json:"probability"`
	Notes       []string `json:"notes"`
}

type excludedJSON struct {
	Target     string `json:"target"`
	DataCentre string `json:"dataCentre"`
	Reason     string `json:"reason"`
}

// retryJSON has the reasons why no retry would follow a first attempt that may have run or
// did not run; "" where one would.
type retryJSON struct {
	AfterMayHaveRun string      `json:"afterMayHaveRun"`
	AfterNotRun     string      `json:"afterNotRun"`
	Budget          *budgetJSON `json:"budget,omitempty"`
}

type hedgeJSON struct {
	Sent    bool        `json:"sent"`
	Reason  string      `json:"reason,omitempty"`
	AfterMs int64       `json:"afterMs,omitempty"`
	Budget  *budgetJSON `json:"budget,omitempty"`
}

func newWhereJSON(id string, f *forecaster.Forecast) whereJSON {
	w := whereJSON{
		ID:      id,
		Version: int64(f.Version()),
	}
	for _, v := range f.Verdicts() {
		w.Filters = append(w.Filters, verdictJSON{
			Filter: v.Filter(),
			Result: string(v.Result()),
			Code:   string(v.Code()),
			Reason: v.Reason(),
		})
	}
	if f.Route() == nil {
		return w
	}
	w.Route, w.Service = f.Route().Name(), f.Service().Name()
	for _, s := range f.Route().Shares() {
		w.Split = append(w.Split, shareJSON{
			Service: s.Service(),
			Weight:  s.Weight(),
		})
	}
	w.Degraded = f.Targets().Degraded()
	w.Rate = newBudgetJSON(f.Rate())
	w.Queue = newQueueJSON(f.Queue())
	w.addTargets(f.Targets())
	w.addEvacuated(f.Evacuated())
	w.addAttempts(f)

	return w
}

func (w *whereJSON) addTargets(p placer.Preview) {
	for _, o := range p.Options() {
		w.Candidates = append(w.Candidates, candidateJSON{
			Target:      o.Member().Target().Name(),
			DataCentre:  o.Member().Target().DataCentre(),
			Risk:        rounded(o.Risk(), fractionDigits),
			Open:        o.Open(),
			Cost:        rounded(o.Cost(), fractionDigits),
			Probability: rounded(o.Probability(), fractionDigits),
			Notes:       notesOf(o),
		})
	}
	for _, e := range p.Excluded() {
		w.Excluded = append(w.Excluded, excludedJSON{
			Target:     e.Member().Target().Name(),
			DataCentre: e.Member().Target().DataCentre(),
			Reason:     string(e.Reason()),
		})
	}
}

func (w *whereJSON) addEvacuated(members []*registrar.Member) {
	for _, m := range members {
		w.Excluded = append(w.Excluded, excludedJSON{
			Target:     m.Target().Name(),
			DataCentre: m.Target().DataCentre(),
			Reason:     "evacuated",
		})
	}
}

func (w *whereJSON) addAttempts(f *forecaster.Forecast) {
	r := f.Retry()
	w.Retry = &retryJSON{
		AfterMayHaveRun: string(r.Stop()),
		AfterNotRun:     string(r.NotRunStop()),
		Budget:          newBudgetJSON(r.Budget()),
	}
	if h := f.Hedge(); h != nil {
		w.Hedge = &hedgeJSON{
			Sent:    h.Sent(),
			Reason:  h.Reason(),
			AfterMs: h.After().Milliseconds(),
			Budget:  newBudgetJSON(h.Budget()),
		}
	}
}

func newBudgetJSON(b *forecaster.Budget) *budgetJSON {
	if b == nil {
		return nil
	}

	return &budgetJSON{
		Allowed: b.Allowed(),
		Left:    rounded(b.Left(), budgetDigits),
		Part:    rounded(b.Part(), budgetDigits),
	}
}

func newQueueJSON(p *queuer.Preview) *queueJSON {
	if p == nil {
		return nil
	}

	return &queueJSON{
		WaitMs:  p.Wait().Milliseconds(),
		Running: p.Running(),
		Waiting: p.Waiting(),
		Bound:   p.Bound(),
	}
}

// notesOf returns what sets the target apart from others.
func notesOf(o placer.Option) []string {
	notes := []string{}
	for _, n := range []struct {
		applies bool
		text    string
	}{
		{o.Suspect(), "suspect"},
		{o.Busy(), "no free slot"},
		{o.Rejects(), "rejects requests"},
		{!o.Local(), "other data centre"},
		{o.Cold(), "cold"},
		{o.Trial(), "trial"},
		{o.Reserve(), "not preferred"},
	} {
		if n.applies {
			notes = append(notes, n.text)
		}
	}

	return notes
}

// The numbers of decimal places.
const (
	fractionDigits = 4
	budgetDigits   = 1
)

// rounded returns the number rounded to decimal places.
func rounded(n float64, digits int) float64 {
	factor := math.Pow10(digits)

	return math.Round(n*factor) / factor
}
