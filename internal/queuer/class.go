package queuer

import "github.com/lagoonkeel/lagoonkeel/pkg/manifester"

// reservedShare is the fraction of the starts that a class is guaranteed while
// higher-priority classes have requests waiting.
const reservedShare = 1.0 / 16

// class divides starts among teams by start-time fair queueing: each start
// advances its team's tag by 1/weight, and the team with the lowest tag is next.
type class struct {
	name manifester.Class
	// virtualTime is the start tag of the last request that was started.
	virtualTime float64
	// finishTags maps each team to the finish tag of its last start.
	finishTags map[string]float64
	// open is the number of requests that are waiting or running.
	open int
	// credit grows by reservedShare with each start that a higher-priority class
	// gets while this one has a request ready; at 1 this class is served first.
	credit float64
}

func newClasses() []*class {
	all := make([]*class, 0, len(manifester.Classes()))
	for _, c := range manifester.Classes() {
		all = append(all, &class{
			name:       c,
			finishTags: map[string]float64{},
		})
	}

	return all
}

// startTag returns the start tag of a team's next request.
func (c *class) startTag(team string) float64 {
	return max(c.virtualTime, c.finishTags[team])
}

// recordStart advances the virtual time and the tag of the ticket's team.
func (c *class) recordStart(t *Ticket) {
	startTag := c.startTag(t.team)
	c.virtualTime = startTag
	c.finishTags[t.team] = startTag + 1/t.weight
}

// requestEnded removes a request from the open ones. A class without open
// requests is reset.
func (c *class) requestEnded() {
	c.open--
	if c.open == 0 {
		c.virtualTime = 0
		c.credit = 0
		clear(c.finishTags)
	}
}
