package commander

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// whereAnswer is a VM's answer with the fields that the tables show.
type whereAnswer struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Filters []struct {
		Filter string `json:"filter"`
		Result string `json:"result"`
		Code   string `json:"code"`
		Reason string `json:"reason"`
	} `json:"filters"`
	Route   string `json:"route"`
	Service string `json:"service"`
	Split   []struct {
		Service string  `json:"service"`
		Weight  float64 `json:"weight"`
	} `json:"split"`
	Degraded bool         `json:"degraded"`
	Rate     *whereBudget `json:"rate"`
	Queue    *struct {
		WaitMs  int64 `json:"waitMs"`
		Running int   `json:"running"`
		Waiting int   `json:"waiting"`
		Bound   int   `json:"bound"`
	} `json:"queue"`
	Candidates []struct {
		Target      string   `json:"target"`
		DataCentre  string   `json:"dataCentre"`
		Risk        float64  `json:"risk"`
		Open        int      `json:"open"`
		Cost        float64  `json:"cost"`
		Probability float64  `json:"probability"`
		Notes       []string `json:"notes"`
	} `json:"candidates"`
	Excluded []struct {
		Target     string `json:"target"`
		DataCentre string `json:"dataCentre"`
		Reason     string `json:"reason"`
	} `json:"excluded"`
	Retry *struct {
		AfterMayHaveRun string       `json:"afterMayHaveRun"`
		AfterNotRun     string       `json:"afterNotRun"`
		Budget          *whereBudget `json:"budget"`
	} `json:"retry"`
	Hedge *struct {
		Sent    bool         `json:"sent"`
		Reason  string       `json:"reason"`
		AfterMs int64        `json:"afterMs"`
		Budget  *whereBudget `json:"budget"`
	} `json:"hedge"`
}

// whereBudget is what is left of a limit.
type whereBudget struct {
	Allowed bool    `json:"allowed"`
	Left    float64 `json:"left"`
	Part    float64 `json:"part"`
}

// String returns what the fleet and the VM may still use; none for no limit.
func (b *whereBudget) String() string {
	if b == nil {
		return "no limit"
	}

	return fmt.Sprintf("%.1f left for the fleet, %.1f for this VM now", b.Left, b.Part)
}

// whereTable prints an answer as tables.
type whereTable struct {
	out io.Writer
}

func (t *whereTable) write(o whereOptions, a *whereAnswer) error {
	err := writeRows(t.out, a.facts(o))
	for _, rows := range [][]string{a.filterRows(), a.candidateRows(), a.excludedRows()} {
		if len(rows) > 1 { // The first row is the header.
			err = errors.Join(err, writeRows(t.out, []string{""}), writeRows(t.out, rows))
		}
	}

	return err
}

// writeRows prints rows whose cells are separated by tabs, in aligned columns.
func writeRows(out io.Writer, rows []string) error {
	columns := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	lines := &printer{
		out: columns,
	}
	for _, r := range rows {
		lines.line("%s", r)
	}

	return errors.Join(lines.err, columns.Flush())
}

// facts returns the rows about the request, apart from the tables.
func (a *whereAnswer) facts(o whereOptions) []string {
	rows := []string{
		fmt.Sprintf("request\t%s %s%s, %s", o.method, o.host, o.path, teamText(o.team)),
		fmt.Sprintf("VM\t%s, version %d", a.ID, a.Version),
	}
	if a.Route == "" {
		return append(rows, "route\tnone")
	}
	rows = append(rows, "route\t"+a.Route, "service\t"+a.serviceText(), "rate\t"+a.Rate.String())
	if q := a.Queue; q != nil {
		rows = append(rows, fmt.Sprintf("queue\texpected wait %d ms; %d of %d running, %d waiting", q.WaitMs, q.Running, q.Bound, q.Waiting))
	}
	if r := a.Retry; r != nil {
		rows = append(rows, fmt.Sprintf("retry\tafter an attempt that may have run: %s; that did not run: %s; %v",
			retryText(r.AfterMayHaveRun), retryText(r.AfterNotRun), r.Budget))
	}

	return append(rows, "hedge\t"+a.hedgeText())
}

func teamText(team string) string {
	if team == "" {
		return "without a key"
	}

	return "team " + team
}

// serviceText returns the service, with the division where the route has several.
func (a *whereAnswer) serviceText() string {
	text := a.Service
	if a.Degraded {
		text += ", degraded"
	}
	if len(a.Split) == 0 {
		return text
	}
	shares := make([]string, 0, len(a.Split))
	for _, s := range a.Split {
		shares = append(shares, fmt.Sprintf("%s %g", s.Service, s.Weight))
	}

	return fmt.Sprintf("%s; the next request of the route, which is divided by weight: %s", text, strings.Join(shares, ", "))
}

func retryText(stop string) string {
	if stop == "" {
		return "yes"
	}

	return "no (" + stop + ")"
}

func (a *whereAnswer) hedgeText() string {
	switch {
	case a.Hedge == nil:
		return "off"
	case a.Hedge.Sent:
		return fmt.Sprintf("sent after %d ms; %v", a.Hedge.AfterMs, a.Hedge.Budget)
	default:
		return fmt.Sprintf("not sent (%s); %v", a.Hedge.Reason, a.Hedge.Budget)
	}
}

func (a *whereAnswer) filterRows() []string {
	rows := append(make([]string, 0, 1+len(a.Filters)), "FILTER\tVERDICT\tREASON")
	for _, f := range a.Filters {
		reason := cmp.Or(f.Reason, "-")
		if f.Code != "" {
			reason = f.Code + ": " + reason
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", f.Filter, f.Result, reason))
	}

	return rows
}

func (a *whereAnswer) candidateRows() []string {
	rows := append(make([]string, 0, 1+len(a.Candidates)), "CANDIDATE\tDATA CENTRE\tRISK\tOPEN\tCOST\tPROBABILITY\tNOTES")
	for _, c := range a.Candidates {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%.2f\t%d\t%.2f\t%.3f\t%s",
			c.Target, c.DataCentre, c.Risk, c.Open, c.Cost, c.Probability, cmp.Or(strings.Join(c.Notes, ", "), "-")))
	}

	return rows
}

func (a *whereAnswer) excludedRows() []string {
	rows := append(make([]string, 0, 1+len(a.Excluded)), "NO CANDIDATE\tDATA CENTRE\tREASON")
	for _, e := range a.Excluded {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", e.Target, e.DataCentre, e.Reason))
	}

	return rows
}
