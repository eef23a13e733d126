package filterer

import (
	"bytes"
	"encoding/base64"
	"strings"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// minKeyLength is the length below which text that a caller presents as a
	// key is not looked for elsewhere: it is found in ordinary words.
	minKeyLength = 6
	// maxUnescapes bounds how often escapes inside escapes are decoded.
	maxUnescapes = 3
	// alignments is the number of ways in which base64 may cut a text.
	alignments = 3
	// escapedByte and escapedRune are the lengths of %41 and \u0041.
	escapedByte = 3
	escapedRune = 6
	// lowerCase is the bit that tells the cases of an ASCII letter apart.
	lowerCase = 'a' - 'A'
	// partEnd stands between the parts of a request that are searched together.
	partEnd = '\n'
	// tokenEnds are the characters that may stand around a key.
	tokenEnds = " \t\r\n=&;,:/?\"'<>()[]{}|@"
)

// keyFinder looks for keys in the parts of one request: the text that the
// caller presented as its key, keys of any team in the manifest, and whatever
// has the shape of a key that this project makes, which covers withdrawn keys.
type keyFinder struct {
	manifest *manifester.Manifest
	// presented holds what came in the fields of keys, in lower case.
	presented [][]byte
	// encoded holds the base64 forms of what came there.
	encoded [][]byte
}

func newKeyFinder(m *manifester.Manifest, f *handler.Fields) *keyFinder {
	k := &keyFinder{
		manifest: m,
	}
	for _, d := range f.All() {
		if !carriesKey(d.Name()) {
			continue
		}
		for _, part := range strings.FieldsFunc(d.Value(), isTokenEnd) {
			k.present(part)
			if plain, ok := decode(part); ok {
				k.presentBasic(plain)
			}
		}
	}

	return k
}

// carriesKey reports whether a field is one that credentials stand in.
func carriesKey(name string) bool {
	return strings.EqualFold(name, KeyField) || strings.EqualFold(name, AuthorizationField) || strings.EqualFold(name, proxyAuthorizationField)
}

func isTokenEnd(r rune) bool { return strings.ContainsRune(tokenEnds, r) }

// presentBasic takes the user and the password of basic credentials.
func (k *keyFinder) presentBasic(credentials string) {
	user, password, ok := strings.Cut(credentials, ":")
	if ok {
		k.present(user)
		k.present(password)
	}
}

func (k *keyFinder) present(key string) {
	if len(key) < minKeyLength || strings.EqualFold(key, strings.TrimSpace(bearerScheme)) {
		return
	}
	k.presented = append(k.presented, bytes.ToLower([]byte(key)))
	for shift := range alignments {
		standard := encodeShifted(base64.RawStdEncoding, key, shift)
		k.encoded = append(k.encoded, standard)
		if forURLs := encodeShifted(base64.RawURLEncoding, key, shift); !bytes.Equal(standard, forURLs) {
			k.encoded = append(k.encoded, forURLs)
		}
	}
}

// encodeShifted returns the part of a base64 text that depends on the key alone
// if shift other bytes stand before it.
func encodeShifted(e *base64.Encoding, key string, shift int) []byte {
	text := []byte(e.EncodeToString(append(make([]byte, shift), key...)))
	if (shift+len(key))%alignments != 0 {
		text = text[:len(text)-1]
	}
	if shift > 0 {
		text = text[shift+1:]
	}

	return text
}

// inRequest reports whether a key stands in a part of the request that goes to
// upstreams. The cost is linear in the size of the request.
func (k *keyFinder) inRequest(r *handler.Request) bool {
	var head []byte
	for _, part := range []string{r.Method(), r.Path(), r.Query()} {
		head = append(append(head, part...), partEnd)
	}
	for _, f := range r.Fields().All() {
		head = append(append(head, f.Name()...), partEnd)
		head = append(append(head, f.Value()...), partEnd)
	}

	return k.inHead(head) || k.inBytes(r.Body())
}

// inHead looks for keys in short texts, keys of the manifest included.
func (k *keyFinder) inHead(text []byte) bool {
	for range maxUnescapes {
		if k.inPlain(text) || k.declared(text) {
			return true
		}
		next := unescape(text)
		if len(next) == len(text) {
			return false
		}
		text = next
	}

	return k.inPlain(text) || k.declared(text)
}

// declared reports whether a token of the text, or of its base64 content, is a
// key of the manifest.
func (k *keyFinder) declared(text []byte) bool {
	for token := range bytes.FieldsFuncSeq(text, isTokenEnd) {
		if len(token) < minKeyLength {
			continue
		}
		if k.isKey(string(token)) {
			return true
		}
		plain, ok := decode(string(token))
		if !ok {
			continue
		}
		for inner := range strings.FieldsFuncSeq(plain, isTokenEnd) {
			if len(inner) >= minKeyLength && k.isKey(inner) {
				return true
			}
		}
	}

	return false
}

func (k *keyFinder) isKey(token string) bool {
	_, ok := k.manifest.TeamOfKey(keyer.Digest(token))

	return ok
}

// decode decodes base64 of either alphabet, padded or not.
func decode(text string) (string, bool) {
	text = strings.TrimRight(text, "=")
	plain, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		plain, err = base64.RawURLEncoding.DecodeString(text)
	}

	return string(plain), err == nil
}

// inBytes looks for what was presented and for the shape of a key, plain,
// escaped and in base64.
func (k *keyFinder) inBytes(text []byte) bool {
	for range maxUnescapes {
		if k.inPlain(text) {
			return true
		}
		next := unescape(text)
		if len(next) == len(text) {
			return false
		}
		text = next
	}

	return k.inPlain(text)
}

func (k *keyFinder) inPlain(text []byte) bool {
	folded := bytes.ToLower(text)
	if keyer.Contains(folded) || shapeInBase64(text) {
		return true
	}
	for _, p := range k.presented {
		if bytes.Contains(folded, p) {
			return true
		}
	}
	for _, p := range k.encoded {
		if bytes.Contains(text, p) {
			return true
		}
	}

	return false
}

// base64Mark is what the beginning of a key becomes in base64 if before other
// bytes stand in front of it in its group.
type base64Mark struct {
	text   string
	before int
}

// back returns the number of characters from the group's start to the mark.
func (m base64Mark) back() int {
	if m.before == 0 {
		return 0
	}

	return m.before + 1
}

var base64Marks = [alignments]base64Mark{
	{text: "bGtf", before: 0},
	{text: "xrX", before: 1},
	{text: "sa1", before: 2},
}

// shapeInBase64 reports whether base64 of either alphabet holds the shape of a
// key.
func shapeInBase64(text []byte) bool {
	for _, m := range base64Marks {
		for from := 0; ; {
			i := bytes.Index(text[from:], []byte(m.text))
			if i < 0 {
				break
			}
			from += i + 1
			if start := from - 1 - m.back(); start >= 0 && m.keyAt(text[start:]) {
				return true
			}
		}
	}

	return false
}

// markEncoded is the length of the base64 text that holds the mark of a key and
// one more character, whatever stands before it in its group.
const markEncoded = 8

// keyAt reports whether the base64 text begins with the group that a key begins
// in. Most texts are told apart by their first characters.
func (m base64Mark) keyAt(text []byte) bool {
	var encoded [(keyer.Length + alignments + 2) / 3 * 4]byte
	var plain [(keyer.Length + alignments + 2) / 3 * 3]byte
	if len(text) < markEncoded {
		return false
	}
	toStandard(encoded[:markEncoded], text)
	if _, err := base64.RawStdEncoding.Decode(plain[:], encoded[:markEncoded]); err != nil || !keyer.Begins(plain[m.before:]) {
		return false
	}
	n := toStandard(encoded[:], text)
	n, _ = base64.RawStdEncoding.Decode(plain[:], encoded[:n]) // What was decoded before an error counts.

	return keyer.Contains(bytes.ToLower(plain[:n]))
}

// toStandard copies base64 up to its end, maps the alphabet for URLs to the
// standard one and returns the length.
func toStandard(to, from []byte) int {
	n := copy(to, from)
	for i, c := range to[:n] {
		switch {
		case c == '-':
			to[i] = '+'
		case c == '_':
			to[i] = '/'
		case c != '+' && c != '/' && (c < '0' || c > '9') && (c|lowerCase < 'a' || c|lowerCase > 'z'):
			return i
		}
	}

	return n
}

// unescape decodes percent escapes and the Unicode escapes of JSON, as far as
// they stand for ASCII.
func unescape(text []byte) []byte {
	if !bytes.ContainsAny(text, `%\`) {
		return text
	}
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); {
		c, n := escapedAt(text[i:])
		out = append(out, c)
		i += n
	}

	return out
}

// escapedAt returns the character at the start of the text and its length.
func escapedAt(text []byte) (c byte, n int) {
	if text[0] == '%' && len(text) >= escapedByte {
		if v, ok := hexByte(text[1], text[2]); ok {
			return v, escapedByte
		}
	}
	if len(text) >= escapedRune && text[0] == '\\' && text[1]|lowerCase == 'u' && text[2] == '0' && text[3] == '0' {
		if v, ok := hexByte(text[4], text[5]); ok {
			return v, escapedRune
		}
	}

	return text[0], 1
}

func hexByte(high, low byte) (byte, bool) {
	h, ok := hexDigit(high)
	l, also := hexDigit(low)

	return h<<4 | l, ok && also
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c|lowerCase >= 'a' && c|lowerCase <= 'f':
		return c | lowerCase - 'a' + 10, true
	default:
		return 0, false
	}
}
