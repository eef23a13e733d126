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

// recorder is the listener of an upstream that records every byte it receives.
type recorder struct {
	ln       net.Listener
	mu       sync.Mutex
	received bytes.Buffer
}

// recordingConn copies the bytes that it reads to the recorder.
type recordingConn struct {
	net.Conn
	recorder *recorder
}

// Read implements net.Conn.
func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	c.recorder.received.Write(p[:n])

	return n, err
}

// Accept implements net.Listener.
func (r *recorder) Accept() (net.Conn, error) {
	c, err := r.ln.Accept()
	if err != nil {
		return nil, err
	}

	return recordingConn{
		Conn:     c,
		recorder: r,
	}, nil
}

// Close implements net.Listener.
func (r *recorder) Close() error { return r.ln.Close() }

// Addr implements net.Listener.
func (r *recorder) Addr() net.Addr { return r.ln.Addr() }

func startRecorder(t *testing.T) *recorder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rec := &recorder{
		ln: ln,
	}
	server := &http.Server{
		ReadHeaderTimeout: waitTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write([]byte("fine"))
		}),
	}
	go func() { _ = server.Serve(rec) }()
	t.Cleanup(func() { server.Close() })

	return rec
}

func (r *recorder) bytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()

	return bytes.Clone(r.received.Bytes())
}

// sendRaw sends text unchanged to a VM on a new connection, and returns everything
// that the VM sends until it closes the connection.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	data, _ := io.ReadAll(c) // The VM closes the connection.

	return string(data)
}

// rawRequest builds the text of a request that asks the VM to close the connection
// after the answer.
func rawRequest(method, target, body string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s",
		method, target, len(body), strings.Join(append(fields, ""), "\r\n"), body)
}

func chunkedRequest(trailer string, fields ...string) string {
	return "POST /any HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n" +
		strings.Join(append(fields, ""), "\r\n") + "\r\n3\r\nabc\r\n0\r\n" + trailer + "\r\n\r\n"
}

// keyForms returns the encodings of a key, and its digest, that the test searches
// for. Base64 encodes a key differently for each of three offsets in its input.
func keyForms(key string) []string {
	forms := []string{key, strings.ToUpper(key), url.QueryEscape(key), strings.ReplaceAll(key, "_", "%5F"), strings.ReplaceAll(key, "_", "%5f")}
	for shift := range 3 {
		text := base64.RawStdEncoding.EncodeToString(append(bytes.Repeat([]byte("x"), shift), key...))
		forms = append(forms, text[shift+2:len(text)-2])
	}

	return append(forms, digest(key))
}

// TestProof03KeysUnseen guards against the leak of a caller's key or its digest to
// an upstream, a log, a trace or an answer, wherever in the request the key stands.
func TestProof03KeysUnseen(t *testing.T) {
	t.Parallel()
	up := startRecorder(t)
	f := startFleet(t, fleetSpec{
		vms:    1,
		traced: true,
	})
	const key = "lk_1f2e3d4c5b6a79881f2e3d4c5b6a79881f2e3d4c5b6a79881f2e3d4c5b6a7988"
	const unknown = "lk_00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	f.mustPublish(fmt.Sprintf(`{
  "services": [{"name": "any", "class": "lookup", "targets": [{"name": "recorder", "address": %q, "dataCentre": "kandy"}]}],
  "teams": [{"name": "guides", "rate": 500, "burst": 100, "keys": [%q]}],
  "routes": [{"name": "any", "prefix": "/", "service": "any"}, {"name": "open", "prefix": "/open", "service": "any", "open": true}]}`,
		up.Addr().String(), digest(key)))
	f.waitReady()
	v := f.vms[0]
	c := newClient(t)
	waitFor(t, "the team is served", func() bool { return send(c, v.callersAddr, request{path: "/any", key: key}).status == 200 })
	var out strings.Builder
	var answers strings.Builder
	basic := base64.StdEncoding.EncodeToString([]byte("guide:" + key))
	keyField := "Lagoonkeel-Key: " + key
	for _, s := range []struct{ name, text string }{
		{"key field", rawRequest("GET", "/any", "", keyField)},
		{"key field, mixed case", rawRequest("GET", "/any", "", "lAgOoNkEeL-kEy:"+key)},
		{"bearer, mixed case", rawRequest("GET", "/any", "", "aUTHORIZATION: bEARER  "+key)},
		{"basic", rawRequest("GET", "/open", "", "Authorization: Basic "+basic)},
		{"key field sent twice", rawRequest("GET", "/any", "", keyField, keyField)},
		{"two keys in one field", rawRequest("GET", "/open", "", keyField+", "+unknown)},
		{"unknown key, open route", rawRequest("GET", "/open", "", "Lagoonkeel-Key: "+unknown)},
		{"proxy credentials", rawRequest("GET", "/any", "", keyField, "Proxy-Authorization: Basic "+basic)},
		{"query", rawRequest("GET", "/any?key="+key, "", keyField)},
		{"query, percent-encoded", rawRequest("GET", "/any?key="+strings.ReplaceAll(key, "_", "%5f"), "", keyField)},
		{"query, percent-encoded twice", rawRequest("GET", "/any?key="+strings.ReplaceAll(key, "_", "%255f"), "", keyField)},
		{"query, without key field", rawRequest("GET", "/open?key="+key, "")},
		{"query, unknown key", rawRequest("GET", "/open?key="+unknown, "")},
		{"path", rawRequest("GET", "/any/"+key, "", keyField)},
		{"path, percent-encoded", rawRequest("GET", "/any/"+strings.ReplaceAll(key, "k", "%6B"), "", keyField)},
		{"absolute request target with user info", rawRequest("GET", "http://"+key+"@fleet.example/any", "", keyField)},
		{"method", rawRequest(strings.ToUpper(key), "/any", "", keyField)},
		{"field name", rawRequest("GET", "/any", "", keyField, key+": 1")},
		{"cookie", rawRequest("GET", "/any", "", keyField, "Cookie: a=b; session="+key)},
		{"cookie, base64", rawRequest("GET", "/any", "", keyField, "Cookie: a=b; session="+basic)},
		{"trace state", rawRequest("GET", "/any", "", keyField, "Traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "Tracestate: a="+key)},
		{"idempotency key", rawRequest("GET", "/any", "", keyField, "Idempotency-Key: "+key)},
		{"host", strings.Replace(rawRequest("GET", "/any", "", keyField), "fleet.example", key+".example", 1)},
		{"body", rawRequest("POST", "/any", `{"key": "`+key+`"}`, keyField)},
		{"body, base64", rawRequest("POST", "/any", base64.StdEncoding.EncodeToString([]byte(`{"key": "`+key+`"}`)), keyField)},
		{"body, unknown key", rawRequest("POST", "/open", unknown)},
		{"trailer", chunkedRequest(keyField, "Trailer: Lagoonkeel-Key")},
		{"trailer with another name", chunkedRequest("X-Copy: "+key, keyField, "Trailer: X-Copy")},
		{"trailer without Trailer field", chunkedRequest("X-Copy: "+key, keyField)},
		{"malformed header line", "GET /any HTTP/1.1\r\nHost: x\r\n" + keyField + "\r\nnonsense " + key + "\r\n\r\n"},
	} {
		text := sendRaw(t, v.callersAddr, s.text)
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
	spans, err := os.ReadFile(v.spansPath)
	if err != nil || len(spans) == 0 {
		t.Errorf("no span was written: %v", err)
	}
	for place, text := range map[string]string{
		"the upstream": string(up.bytes()),
		"the VM's log": v.output(),
		"the spans":    string(spans),
		"the answers":  answers.String(),
	} {
		for _, k := range []string{key, unknown} {
			for _, form := range keyForms(k) {
				if strings.Contains(text, form) {
					t.Errorf("%s: holds the key as %q", place, form)
				}
			}
		}
	}
	if !bytes.Contains(up.bytes(), []byte("GET /any")) {
		t.Error("the upstream received no request")
	}
}
