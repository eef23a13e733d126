package filterer_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// ownKey and otherKey belong to two teams. Neither is in the format of the
	// keys that keyer makes.
	ownKey   = "guides-secret-1"
	otherKey = "shops-secret-1"
)

// unregisteredKey has the format of a key and belongs to no team, like a
// withdrawn key.
var unregisteredKey = "lk_" + strings.Repeat("0a1b2c3d", 8)

type fixedSource struct {
	manifest *manifester.Manifest
}

// Manifest returns the fixed manifest.
func (f fixedSource) Manifest() *manifester.Manifest { return f.manifest }

// upstream is the last filter of the chain. It stores the request that it
// receives.
type upstream struct {
	got *handler.Request
}

// Name returns the filter's name.
func (*upstream) Name() string { return "upstream" }

// Handle stores the request and responds with 200.
func (u *upstream) Handle(_ context.Context, x *handler.Exchange, _ handler.Handler) error {
	u.got = x.Request()
	x.SetResponse(handler.NewResponse(200, nil))

	return nil
}

func keyedManifest(t testing.TB) *manifester.Manifest {
	t.Helper()
	m, err := manifester.Restore(1, nil, []*manifester.Team{
		manifester.NewTeam("guides", 10, 5, 1, []string{keyer.Digest(ownKey)}),
		manifester.NewTeam("shops", 10, 5, 1, []string{keyer.Digest(otherKey)}),
	}, nil)
	if err != nil {
		t.Fatal(err)
	}

	return m
}

// scrub passes a request through the filters and returns the decision and the
// request that the upstream received, or nil.
func scrub(t testing.TB, r *handler.Request) (decision string, got *handler.Request) {
	t.Helper()
	u := &upstream{}
	x := handler.NewExchange(r, 0)
	err := handler.NewChain(filterer.NewAuthenticate(fixedSource{manifest: keyedManifest(t)}), filterer.NewScrub(), u).Serve(context.Background(), x)
	if err != nil {
		return err.Error(), nil
	}
	team := "nobody"
	if x.Team() != nil {
		team = x.Team().Name()
	}

	return "passed for " + team, u.got
}

type scrubCase struct {
	name   string
	method string
	path   string
	query  string
	fields []string
	body   string
}

func (s scrubCase) request() *handler.Request {
	if s.method == "" {
		s.method = "GET"
	}
	if s.path == "" {
		s.path = "/a"
	}
	r := handler.NewRequest(s.method, s.path, s.query, []byte(s.body))
	for i := 0; i+1 < len(s.fields); i += 2 {
		r.Fields().Add(s.fields[i], s.fields[i+1])
	}

	return r
}

func encoded(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

func unicodeEscaped(s string) string {
	var out strings.Builder
	for _, c := range []byte(s) {
		fmt.Fprintf(&out, `\u%04x`, c)
	}

	return out.String()
}

// TestScrub compares the decisions about keys in every part of a request, and
// the header fields that reach the upstream, with the golden file.
func TestScrub(t *testing.T) {
	own := []string{"Lagoonkeel-Key", ownKey}
	with := func(more ...string) []string { return append(append([]string(nil), own...), more...) }
	percent := strings.ReplaceAll(url.QueryEscape(ownKey), "-", "%2D")
	var out strings.Builder
	for _, s := range []scrubCase{
		{name: "own field", fields: own},
		{name: "own field in another case", fields: []string{"lagoonKEEL-key", ownKey}},
		{name: "bearer", fields: []string{"Authorization", "Bearer " + ownKey}},
		{name: "bearer in another case", fields: []string{"AUTHORIZATION", "bEaReR  " + ownKey}},
		{name: "same key in both fields", fields: with("Authorization", "Bearer "+ownKey)},
		{name: "different keys in the two fields", fields: with("Authorization", "Bearer "+otherKey)},
		{name: "field twice", fields: with(own...)},
		{name: "two keys joined by a comma", fields: []string{"Lagoonkeel-Key", ownKey + ", " + otherKey}},
		{name: "basic, key as password", fields: []string{"Authorization", "Basic " + encoded("user:"+ownKey)}},
		{name: "proxy credentials", fields: with("Proxy-Authorization", "Basic "+encoded("user:"+ownKey))},
		{name: "unknown key", fields: []string{"Lagoonkeel-Key", "nobody-knows"}},
		{name: "unknown scheme", fields: []string{"Authorization", "Digest username=x"}},
		{name: "no key", body: "plain"},

		{name: "own key in path", path: "/a/" + ownKey, fields: own},
		{name: "own key in method", method: strings.ToUpper(ownKey), fields: own},
		{name: "own key in query", query: "key=" + ownKey, fields: own},
		{name: "own key in query, percent", query: "key=" + percent, fields: own},
		{name: "own key in query, percent twice", query: "key=" + url.QueryEscape(percent), fields: own},
		{name: "own key in query, base64", query: "key=" + encoded(ownKey), fields: own},
		{name: "own key in query, base64 in percent", query: "key=" + url.QueryEscape(encoded("x:"+ownKey)), fields: own},
		{name: "own key in a field's value", fields: with("X-Copy", "a "+ownKey)},
		{name: "own key in a field's name", fields: with("X-"+strings.ToUpper(ownKey), "a")},
		{name: "own key in a cookie", fields: with("Cookie", "a=b; key="+ownKey)},
		{name: "own key in a cookie, base64, shift 1", fields: with("Cookie", "a="+encoded("1"+ownKey))},
		{name: "own key in a cookie, base64, shift 2", fields: with("Cookie", "a="+encoded("12"+ownKey+"3"))},
		{name: "own key in the body", fields: own, body: `{"key": "` + ownKey + `"}`},
		{name: "own key in the body, JSON escapes", fields: own, body: `{"key": "` + unicodeEscaped(ownKey) + `"}`},
		{name: "own key in the body, base64", fields: own, body: "see " + encoded("..."+ownKey)},
		{name: "basic password in the body", fields: []string{"Authorization", "Basic " + encoded("user:"+ownKey)}, body: ownKey},

		{name: "other team's key in query, no key presented", query: "key=" + otherKey},
		{name: "other team's key in query, percent", query: "key=" + url.QueryEscape(strings.Replace(otherKey, "s", "%73", 1)), fields: own},
		{name: "other team's key in a cookie", fields: with("Cookie", "key="+otherKey)},
		{name: "other team's key in a cookie, basic", fields: with("Cookie", encoded("user:"+otherKey))},

		{name: "unregistered key in path", path: "/" + unregisteredKey},
		{name: "unregistered key in query", query: unregisteredKey},
		{name: "unregistered key in upper case", fields: []string{"X-Copy", strings.ToUpper(unregisteredKey)}},
		{name: "unregistered key in the body", body: "a " + unregisteredKey},
		{name: "unregistered key in the body, base64", body: encoded(unregisteredKey)},
		{name: "unregistered key in the body, base64, shift 1", body: encoded("1" + unregisteredKey)},
		{name: "unregistered key in the body, base64, shift 2", body: encoded("12" + unregisteredKey + "34")},
		{name: "unregistered key in the body, URL-safe base64", body: base64.RawURLEncoding.EncodeToString([]byte("~~~" + unregisteredKey))},

		{name: "key prefix alone", body: "lk_short", query: "a=lk_", fields: own},
		{name: "incomplete escapes", body: `%`, query: "%2", path: `/\u00`, fields: own},
	} {
		decision, got := scrub(t, s.request())
		fmt.Fprintf(&out, "%s: %s\n", s.name, decision)
		if got != nil {
			for _, f := range got.Fields().All() {
				fmt.Fprintf(&out, "  %s: %s\n", f.Name(), f.Value())
			}
		}
	}
	goldie.New(t).Assert(t, "scrub", []byte(out.String()))
}

// TestScrubAnywhere puts keys in random encodings into random parts of requests
// and checks that every request is refused.
func TestScrubAnywhere(t *testing.T) {
	const seed, rounds = 7, 5000
	random := rand.New(rand.NewPCG(seed, seed))
	noise := func() string {
		b := make([]byte, random.IntN(12))
		for i := range b {
			b[i] = "abcXYZ019._~/+ "[random.IntN(15)]
		}

		return string(b)
	}
	encodings := []func(string) string{
		func(s string) string { return s },
		func(s string) string { return noise() + s + noise() },
		func(s string) string { return strings.ReplaceAll(noise()+s, string(s[3]), fmt.Sprintf("%%%02X", s[3])) },
		func(s string) string { return noise() + " " + encoded(noise()+s+noise()) },
		func(s string) string { return base64.RawURLEncoding.EncodeToString([]byte(noise() + s + noise())) },
		func(s string) string { return noise() + unicodeEscaped(s) },
		url.QueryEscape,
	}
	for round := range rounds {
		key := []string{ownKey, unregisteredKey}[random.IntN(2)]
		text := encodings[random.IntN(len(encodings))](key)
		s := scrubCase{
			fields: []string{"Lagoonkeel-Key", ownKey},
		}
		switch random.IntN(4) {
		case 0:
			s.path = "/" + text
		case 1:
			s.query = text
		case 2:
			s.fields = append(s.fields, "X-Field", text)
		default:
			s.body = text
		}
		if decision, got := scrub(t, s.request()); got != nil {
			t.Fatalf("seed %d, round %d: %+v %s", seed, round, s, decision)
		}
	}
}

// BenchmarkScrub measures the cost of requests without a body and with bodies of
// 1 MB, among them some in which base64 text, escapes or key prefixes are dense.
func BenchmarkScrub(b *testing.B) {
	for name, body := range map[string][]byte{
		"none":         nil,
		"1MB-text":     bytes.Repeat([]byte("one sheet of paper, folded. "), 1<<20/28),
		"1MB-base64":   []byte(encoded(string(bytes.Repeat([]byte("one sheet of paper, folded. "), 3<<18/28)))),
		"1MB-escape":   bytes.Repeat([]byte(`%41\u0041`), 1<<20/9),
		"1MB-prefixes": bytes.Repeat([]byte("xrX"), 1<<20/3),
	} {
		b.Run(name, func(b *testing.B) {
			chain := handler.NewChain(filterer.NewScrub(), &upstream{})
			m := keyedManifest(b)
			b.ReportAllocs()
			for b.Loop() {
				r := scrubCase{
					query: "course=matale&seats=2",
					fields: []string{
						"Lagoonkeel-Key", ownKey, "Host", "fleet.example", "User-Agent", "guide/1.0 (phone)", "Accept", "application/json, text/plain",
						"Content-Type", "application/json", "Idempotency-Key", "0f5b1c1e-8f0e-4c1f-9f39-f1f6a2b7c001",
					},
				}.request()
				x := handler.NewExchange(handler.NewRequest(r.Method(), r.Path(), r.Query(), body), 0)
				for _, f := range r.Fields().All() {
					x.Request().Fields().Add(f.Name(), f.Value())
				}
				x.SetManifest(m)
				if err := chain.Serve(context.Background(), x); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
