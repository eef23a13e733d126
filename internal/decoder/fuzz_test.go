package decoder_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/snapshotter"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// addSeeds adds to the seed corpus the JSON files below testdata/KIND, if any, the given
// inputs, and short edge cases that every decoder must handle.
func addSeeds(f *testing.F, kind string, more ...string) {
	f.Helper()
	inputs, err := filepath.Glob(filepath.Join("testdata", kind, "*.json"))
	if err != nil {
		f.Fatal(err)
	}
	for _, in := range inputs {
		data, err := os.ReadFile(in)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, m := range append(more, "", "{}", "[]", "null", `{"a":1e999}`, "\xff", `{"teams":[{"name":"a","rate":1e-320,"burst":1}]}`) {
		f.Add([]byte(m))
	}
}

// requireFaults fails the test unless err is non-empty manifester.Faults, the type of
// error that operators are shown.
func requireFaults(t *testing.T, err error) {
	t.Helper()
	var faults manifester.Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("the error has type %T: %v", err, err)
	}
}

// FuzzManifest checks that an accepted manifest is the same after encoding and decoding.
func FuzzManifest(f *testing.F) {
	addSeeds(f, "manifest")
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decoder.Manifest(data, manifester.NoVersion)
		if err != nil {
			requireFaults(t, err)

			return
		}
		text, err := encoder.Manifest(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decoder.Manifest(text, manifester.NoVersion)
		if err != nil {
			t.Fatalf("the encoded text is refused: %v\n%s", err, text)
		}
		if n := m.Diff("", again).Size(); n != 0 {
			t.Fatalf("%d objects differ after encoding and decoding", n)
		}
	})
}

// FuzzSettings checks that errors are always manifester.Faults, and that accepted settings
// have an id, and a body limit and a retention above 0.
func FuzzSettings(f *testing.F) {
	addSeeds(f, "settings")
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decoder.Settings(data)
		if err != nil {
			requireFaults(t, err)

			return
		}
		if s.ID() == "" || s.MaxBody() < 1 || s.Retention() <= 0 {
			t.Fatalf("accepted settings break an invariant: %+v", s)
		}
	})
}

// FuzzChange checks that a change has the same effect on a manifest after encoding and
// decoding.
func FuzzChange(f *testing.F) {
	addSeeds(f, "manifest",
		`{"id":"x","base":-1,"teams":[{"name":"a","rate":1,"burst":1}]}`,
		`{"id":"x","base":-1,"removeTeams":["guides"],"removeServices":["fieldbook","nowhere"]}`,
		`{"id":"x","base":-1,"services":[{"name":"s","class":"lookup","targets":[{"name":"t","address":"10.0.0.1:80","dataCentre":"kandy"}]}]}`,
	)
	services, teams, routes := []*manifester.Service{
		manifester.NewService("fieldbook", manifester.ClassLookup, 0, []*manifester.Target{
			manifester.NewTarget(manifester.TargetSpec{
				Name:        "f1",
				Address:     "10.0.0.1:80",
				DataCentre:  "kandy",
				Slots:       4,
				Connections: 4,
			}),
		}),
	}, []*manifester.Team{manifester.NewTeam("guides", 1, 1, 1, nil)}, []*manifester.Route(nil)
	base, err := manifester.Restore(manifester.NoVersion, services, teams, routes)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := decoder.Change(data)
		if err != nil {
			requireFaults(t, err)

			return
		}
		next, err := base.Apply(c, 0)
		if err != nil {
			return
		}
		text, err := encoder.Change(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decoder.Change(text)
		if err != nil {
			t.Fatalf("the encoded text is refused: %v\n%s", err, text)
		}
		other, err := base.Apply(again, 0)
		if err != nil || next.Diff("", other).Size() != 0 {
			t.Fatalf("the change differs after encoding and decoding: %v\n%s", err, text)
		}
	})
}

// FuzzSnapshotChunk checks that an accepted chunk is the same after encoding and decoding.
func FuzzSnapshotChunk(f *testing.F) {
	m, err := manifester.Restore(3, nil, []*manifester.Team{manifester.NewTeam("guides", 1, 1, 1, nil)}, nil)
	if err != nil {
		f.Fatal(err)
	}
	good, err := encoder.Chunk(snapshotter.Split("s", m, 4)[0])
	if err != nil {
		f.Fatal(err)
	}
	addSeeds(f, "chunk", string(good), string(bytes.Replace(good, []byte("guides"), []byte("shops"), 1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := decoder.Chunk(data)
		if err != nil {
			return
		}
		var collector snapshotter.Collector
		collector.Add(c)
		text, err := encoder.Chunk(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decoder.Chunk(text)
		if err != nil {
			t.Fatalf("the encoded text is refused: %v\n%s", err, text)
		}
		if again.Next() != c.Next() || again.Version() != c.Version() || again.Index() != c.Index() || len(again.Teams()) != len(c.Teams()) {
			t.Fatalf("the chunk differs after encoding and decoding: %s", text)
		}
	})
}
