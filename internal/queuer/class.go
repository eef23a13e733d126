package queuer

import "github.com/lagoonkeel/lagoonkeel/pkg/manifester"

// keptShare is the part of the starts that a class gets while more important
// classes have requests waiting.
const keptShare = 1.0 / 16

// class shares starts between teams by start-time fair queueing: each start
// moves its team's tag on by 1/weight, and the lowest tag goes next.
type class struct {
	name manifester.Class
	// virtual is the tag of the last start.
	virtual float64
	// finish has the tag at which each team's last start ended.
	finish map[string]float64
	// open is the number of requests that wait or run.
	open int
	// credit is the number of starts that the class was passed over for, times
	// keptShare; at 1 the class goes first.
	credit float64
}

func newClasses() []*class {
	all := make([]*class, 0, len(manifester.Classes()))
	for _, c := range manifester.Classes() {
		all = append(all, &class{
			name:   c,
			finish: map[string]float64{},
		})
	}

	return all
}

// tag returns the start tag of a team's next request.
func (c *class) tag(team string) float64 {
	return max(c.virtual, c.finish[team])
}

// start counts a start of the team.
func (c *class) start(t *Ticket) {
	tag := c.tag(t.team)
	c.virtual = tag
	c.finish[t.team] = tag + 1/t.weight
}

// close counts the end of a request. A class without requests starts anew.
func (c *class) close() {
	c.open--
	if c.open == 0 {
		c.virtual = 0
		c.credit = 0
		clear(c.finish)
	}
}
