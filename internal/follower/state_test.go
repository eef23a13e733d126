package follower_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/follower"
	"github.com/lagoonkeel/lagoonkeel/internal/recorder"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

func teamChange(id string, base int, name string) string {
	return fmt.Sprintf(`{"id": %q, "base": %d, "teams": [{"name": %q, "rate": 10, "burst": 5}]}`, id, base, name)
}

// TestState compares with testdata/state.golden which records and snapshots
// change the state.
func TestState(t *testing.T) {
	var out strings.Builder
	s := follower.NewState(decoder.Change)
	apply := func(offset int64, data string) {
		c, err := s.Apply(recorder.NewRecord(recorder.Offset(offset), []byte(data)))
		fmt.Fprintf(&out, "record %d: applied=%v error=%v; version %d, next %d, %d teams\n",
			offset, c != nil, err, s.Manifest().Version(), s.Next(), len(s.Manifest().Teams()))
	}
	restore := func(version manifester.Version, next recorder.Offset) {
		m, err := manifester.Restore(version, nil, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "snapshot of version %d, next %d: restored=%v; version %d, next %d, %d teams\n",
			version, next, s.Restore(m, next), s.Manifest().Version(), s.Next(), len(s.Manifest().Teams()))
	}
	apply(1, teamChange("early", 0, "guides"))
	apply(0, teamChange("first", -1, "guides"))
	apply(0, teamChange("first", -1, "guides"))
	apply(1, teamChange("winner", 0, "hostels"))
	apply(2, teamChange("loser", 0, "students"))
	apply(3, "nonsense")
	apply(4, `{"id": "dangling", "base": 1, "routes": [{"name": "r", "prefix": "/", "service": "nowhere"}]}`)
	apply(5, teamChange("next", 1, "students"))
	restore(4, 5)
	restore(5, 6)
	restore(9, 12)
	apply(11, teamChange("old", 5, "late"))
	apply(12, teamChange("after", 9, "guides"))
	goldie.New(t).Assert(t, "state", []byte(out.String()))
}
