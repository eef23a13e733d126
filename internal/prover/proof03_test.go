package prover

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// wire is an upstream that keeps every byte it was sent.
type wire struct {
	ln   net.Listener
	mu   sync.Mutex
	seen bytes.Buffer
}

// recordingConn passes on what it reads to the wire.
type recordingConn struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	c.wire.seen.Write(p[:n])

	return n, err
}

// Accept implements net.Listener.
func (w *wire) Accept() (net.Conn, error) {
	c, err := w.ln.Accept()
	if err != nil {
		return nil, err
	}

	return recordingConn{
		Conn: c,
		wire: w,
	}, nil
}

// Close implements net.Listener.
func (w *wire) Close() error { return w.ln.Close() }

// Addr implements net.Listener.
func (w *wire) Addr() net.Addr { return w.ln.Addr() }

func startWire(t *testing.T) *wire {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{
		ln: ln,
	}
	server := &http.Server{
		ReadHeaderTimeout: patience,
		Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = out.Write([]byte("fine"))
		}),
	}
	go func() { _ = server.Serve(w) }()
	t.Cleanup(func() { server.Close() })

	return w
}

func (w *wire) bytes() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()

	return bytes.Clone(w.seen.Bytes())
}

// speak sends bytes to a VM on a connection of their own and returns the answer.
func speak(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	data, _ := io.ReadAll(c) // The VM closes the connection.

	return string(data)
}

// message builds a request whose connection closes after the answer.
func message(method, target, body string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s",
		method, target, len(body), strings.Join(append(fields, ""), "\r\n"), body)
}

func chunked(trailer string, fields ...string) string {
	return "POST /any HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n" +
		strings.Join(append(fields, ""), "\r\n") + "\r\n3\r\nabc\r\n0\r\n" + trailer + "\r\n\r\n"
}

// spellings returns the forms in which a key may be found.
func spellings(key string) []string {
	forms := []string{key, strings.ToUpper(key), url.QueryEscape(key), strings.ReplaceAll(key, "_", "%5F"), strings.ReplaceAll(key, "_", "%5f")}
	for shift := range 3 {
		text := base64.RawStdEncoding.EncodeToString(append(bytes.Repeat([]byte("x"), shift), key...))
		forms = append(forms, text[shift+2:len(text)-2])
	}

	return append(forms, digest(key))
}

// TestProof03KeysUnseen proves that no upstream, log, trace or error body ever
// holds a caller's key or its digest, wherever the key stood in the request.
func TestProof03KeysUnseen(t *testing.T) {
	up := startWire(t)
	f := startFleet(t, fleetSpec{
		vms:    1,
		traced: true,
	})
	const key = "lk_1f2e3d4c5b6a79881f2e3d4c5b6a79881f2e3d4c5b6a79881f2e3d4c5b6a7988"
	const stray = "lk_00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	f.mustPublish(fmt.Sprintf(`{
  "services": [{"name": "any", "class": "lookup", "targets": [{"name": "wire", "address": %q, "dataCentre": "kandy"}]}],
  "teams": [{"name": "guides", "rate": 500, "burst": 100, "keys": [%q]}],
  "routes": [{"name": "any", "prefix": "/", "service": "any"}, {"name": "open", "prefix": "/open", "service": "any", "open": true}]}`,
		up.Addr().String(), digest(key)))
	f.ready()
	v := f.vms[0]
	c := newClient(t)
	waitFor(t, "the team is served", func() bool { return send(c, v.callers, request{path: "/any", key: key}).status == 200 })
	var out strings.Builder
	var answers strings.Builder
	basic := base64.StdEncoding.EncodeToString([]byte("guide:" + key))
	own := "Lagoonkeel-Key: " + key
	for _, s := range []struct{ name, text string }{
		{"own field", message("GET", "/any", "", own)},
		{"own field, odd case", message("GET", "/any", "", "lAgOoNkEeL-kEy:"+key)},
		{"bearer, odd case", message("GET", "/any", "", "aUTHORIZATION: bEARER  "+key)},
		{"basic", message("GET", "/open", "", "Authorization: Basic "+basic)},
		{"two fields", message("GET", "/any", "", own, own)},
		{"joined", message("GET", "/open", "", own+", "+stray)},
		{"unknown key, open route", message("GET", "/open", "", "Lagoonkeel-Key: "+stray)},
		{"proxy credentials", message("GET", "/any", "", own, "Proxy-Authorization: Basic "+basic)},
		{"query", message("GET", "/any?key="+key, "", own)},
		{"query, percent", message("GET", "/any?key="+strings.ReplaceAll(key, "_", "%5f"), "", own)},
		{"query, percent twice", message("GET", "/any?key="+strings.ReplaceAll(key, "_", "%255f"), "", own)},
		{"query, no field", message("GET", "/open?key="+key, "")},
		{"query, stray key", message("GET", "/open?key="+stray, "")},
		{"path", message("GET", "/any/"+key, "", own)},
		{"path, percent", message("GET", "/any/"+strings.ReplaceAll(key, "k", "%6B"), "", own)},
		{"absolute target with user", message("GET", "http://"+key+"@fleet.example/any", "", own)},
		{"method", message(strings.ToUpper(key), "/any", "", own)},
		{"field name", message("GET", "/any", "", own, key+": 1")},
		{"cookie", message("GET", "/any", "", own, "Cookie: a=b; session="+key)},
		{"cookie, base64", message("GET", "/any", "", own, "Cookie: a=b; session="+basic)},
		{"trace state", message("GET", "/any", "", own, "Traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "Tracestate: a="+key)},
		{"idempotency key", message("GET", "/any", "", own, "Idempotency-Key: "+key)},
		{"host", strings.Replace(message("GET", "/any", "", own), "fleet.example", key+".example", 1)},
		{"body", message("POST", "/any", `{"key": "`+key+`"}`, own)},
		{"body, base64", message("POST", "/any", base64.StdEncoding.EncodeToString([]byte(`{"key": "`+key+`"}`)), own)},
		{"body, stray key", message("POST", "/open", stray)},
		{"trailer", chunked(own, "Trailer: Lagoonkeel-Key")},
		{"trailer of another name", chunked("X-Copy: "+key, own, "Trailer: X-Copy")},
		{"trailer not announced", chunked("X-Copy: "+key, own)},
		{"broken framing", "GET /any HTTP/1.1\r\nHost: x\r\n" + own + "\r\nnonsense " + key + "\r\n\r\n"},
	} {
		text := speak(t, v.callers, s.text)
		answers.WriteString(text)
		status, _, _ := strings.Cut(strings.TrimPrefix(text, "HTTP/1.1 "), "\r\n")
		_, body, _ := strings.Cut(text, "\r\n\r\n")
		fmt.Fprintf(&out, "%s: %s %s\n", s.name, status, answer{body: body}.code())
	}
	goldie.New(t).Assert(t, "proof03", []byte(out.String()))
	v.terminate()
	if code := v.exitCode(); code != 0 {
		t.Errorf("the VM stopped with exit code %d", code)
	}
	spans, err := os.ReadFile(v.spans)
	if err != nil || len(spans) == 0 {
		t.Errorf("no span was written: %v", err)
	}
	for place, text := range map[string]string{
		"the upstream": string(up.bytes()),
		"the VM's log": v.printed(),
		"the spans":    string(spans),
		"the answers":  answers.String(),
	} {
		for _, k := range []string{key, stray} {
			for _, form := range spellings(k) {
				if strings.Contains(text, form) {
					t.Errorf("%s saw the key as %q", place, form)
				}
			}
		}
	}
	if !bytes.Contains(up.bytes(), []byte("GET /any")) {
		t.Error("the upstream saw no request at all")
	}
}
