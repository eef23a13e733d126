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
	// minKeyLength is the length below which text is not taken for a key. Shorter
	// text that a caller presents as a key would be found in ordinary words.
	minKeyLength = 6
	// maxUnescapes bounds how many levels of nested escapes are decoded.
	maxUnescapes = 3
	// base64GroupBytes is the number of bytes in a group of base64, and so the
	// number of positions at which a key can start in one.
	base64GroupBytes = 3
	// percentEscapeLength and unicodeEscapeLength are the lengths of %41 and
	// \u0041.
	percentEscapeLength = 3
	unicodeEscapeLength = 6
	// caseBit is the bit in which the two cases of an ASCII letter differ.
	caseBit = 'a' - 'A'
	// partSeparator separates the parts of a request that are searched together.
	partSeparator = '\n'
	// tokenDelimiters are the characters that may delimit a key.
	tokenDelimiters = " \t\r\n=&;,:/?\"'<>()[]{}|@"
)

// keyFinder searches one request for keys: the text that the caller presented
// as its key, any text in the format of the keys that keyer makes, which covers
// withdrawn keys, and, outside the body, the keys of all teams in the manifest.
type keyFinder struct {
	manifest *manifester.Manifest
	// presented holds, in lower case, the values of the credential fields split
	// at delimiters, and the user and password of Basic credentials.
	presented [][]byte
	// encoded holds the base64 forms of the same values in their original case.
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
		for _, part := range strings.FieldsFunc(d.Value(), isTokenDelimiter) {
			k.addPresented(part)
			if plain, ok := decodeBase64(part); ok {
				k.addBasic(plain)
			}
		}
	}

	return k
}

// carriesKey reports whether the field of the name carries credentials.
func carriesKey(name string) bool {
	return strings.EqualFold(name, KeyField) || strings.EqualFold(name, AuthorizationField) || strings.EqualFold(name, proxyAuthorizationField)
}

func isTokenDelimiter(r rune) bool { return strings.ContainsRune(tokenDelimiters, r) }

// addBasic adds the user and the password of Basic credentials.
func (k *keyFinder) addBasic(credentials string) {
	user, password, ok := strings.Cut(credentials, ":")
	if ok {
		k.addPresented(user)
		k.addPresented(password)
	}
}

func (k *keyFinder) addPresented(key string) {
	if len(key) < minKeyLength || strings.EqualFold(key, strings.TrimSpace(bearerScheme)) {
		return
	}
	k.presented = append(k.presented, bytes.ToLower([]byte(key)))
	for shift := range base64GroupBytes {
		standard := encodeShifted(base64.RawStdEncoding, key, shift)
		k.encoded = append(k.encoded, standard)
		if urlSafe := encodeShifted(base64.RawURLEncoding, key, shift); !bytes.Equal(standard, urlSafe) {
			k.encoded = append(k.encoded, urlSafe)
		}
	}
}

// encodeShifted returns the part of a base64 text that depends on the key alone
// if the key is preceded by shift other bytes in its group.
func encodeShifted(e *base64.Encoding, key string, shift int) []byte {
	text := []byte(e.EncodeToString(append(make([]byte, shift), key...)))
	if (shift+len(key))%base64GroupBytes != 0 {
		text = text[:len(text)-1]
	}
	if shift > 0 {
		text = text[shift+1:]
	}

	return text
}

// containsKey reports whether a part of the request that is forwarded to
// upstreams contains a key. The cost is linear in the size of the request.
func (k *keyFinder) containsKey(r *handler.Request) bool {
	var head []byte
	for _, part := range []string{r.Method(), r.Path(), r.Query()} {
		head = append(append(head, part...), partSeparator)
	}
	for _, f := range r.Fields().All() {
		head = append(append(head, f.Name()...), partSeparator)
		head = append(append(head, f.Value()...), partSeparator)
	}

	return k.inHead(head) || k.inBody(r.Body())
}

// inHead reports whether text of the head, which is everything of a request but
// its body, contains a key as it is or unescaped. Unlike inBody it also finds the
// keys of the manifest.
func (k *keyFinder) inHead(text []byte) bool {
	for range maxUnescapes {
		if k.inUnescaped(text) || k.hasRegisteredKey(text) {
			return true
		}
		next := unescape(text)
		if len(next) == len(text) {
			return false
		}
		text = next
	}

	return k.inUnescaped(text) || k.hasRegisteredKey(text)
}

// hasRegisteredKey reports whether a token of the text, or a token of its base64
// content, is a key of the manifest.
func (k *keyFinder) hasRegisteredKey(text []byte) bool {
	for token := range bytes.FieldsFuncSeq(text, isTokenDelimiter) {
		if len(token) < minKeyLength {
			continue
		}
		if k.isRegisteredKey(string(token)) {
			return true
		}
		plain, ok := decodeBase64(string(token))
		if !ok {
			continue
		}
		for inner := range strings.FieldsFuncSeq(plain, isTokenDelimiter) {
			if len(inner) >= minKeyLength && k.isRegisteredKey(inner) {
				return true
			}
		}
	}

	return false
}

func (k *keyFinder) isRegisteredKey(token string) bool {
	_, ok := k.manifest.TeamOfKey(keyer.Digest(token))

	return ok
}

// decodeBase64 decodes base64 of the standard or the URL-safe alphabet, padded
// or not.
func decodeBase64(text string) (string, bool) {
	text = strings.TrimRight(text, "=")
	plain, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		plain, err = base64.RawURLEncoding.DecodeString(text)
	}

	return string(plain), err == nil
}

// inBody reports whether text, as it is or unescaped, contains a presented key
// or text in the format of a key, also in base64.
func (k *keyFinder) inBody(text []byte) bool {
	for range maxUnescapes {
		if k.inUnescaped(text) {
			return true
		}
		next := unescape(text)
		if len(next) == len(text) {
			return false
		}
		text = next
	}

	return k.inUnescaped(text)
}

// inUnescaped reports the same as inBody for text that it does not unescape.
func (k *keyFinder) inUnescaped(text []byte) bool {
	lower := bytes.ToLower(text)
	if keyer.ContainsKey(lower) || containsBase64Key(text) {
		return true
	}
	for _, p := range k.presented {
		if bytes.Contains(lower, p) {
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

// base64Prefix is the part of the base64 text of a key's prefix that does not
// depend on the bytes that precede the key in its group. The number of these
// bytes is before.
type base64Prefix struct {
	text   string
	before int
}

// offset returns the number of characters from the start of the group to the
// text.
func (p base64Prefix) offset() int {
	if p.before == 0 {
		return 0
	}

	return p.before + 1
}

// base64Prefixes holds, for each number of bytes before the key in its group, the
// base64 text of "lk_", the prefix of keys.
var base64Prefixes = [base64GroupBytes]base64Prefix{
	{text: "bGtf", before: 0},
	{text: "xrX", before: 1},
	{text: "sa1", before: 2},
}

// containsBase64Key reports whether the text contains base64, of either
// alphabet, of text in the format of a key.
func containsBase64Key(text []byte) bool {
	for _, p := range base64Prefixes {
		for from := 0; ; {
			i := bytes.Index(text[from:], []byte(p.text))
			if i < 0 {
				break
			}
			from += i + 1
			if start := from - 1 - p.offset(); start >= 0 && p.keyAt(text[start:]) {
				return true
			}
		}
	}

	return false
}

// encodedPrefixLength is the length of the base64 text that contains the prefix
// of a key and one more character, for any number of bytes before it in its
// group.
const encodedPrefixLength = 8

// keyAt reports whether the base64 text starts with the group in which a key
// starts. It first decodes only as much as contains the key's prefix, which
// rules out most texts.
func (p base64Prefix) keyAt(text []byte) bool {
	var encoded [(keyer.Length + base64GroupBytes + 2) / 3 * 4]byte
	var plain [(keyer.Length + base64GroupBytes + 2) / 3 * 3]byte
	if len(text) < encodedPrefixLength {
		return false
	}
	toStandard(encoded[:encodedPrefixLength], text)
	if _, err := base64.RawStdEncoding.Decode(plain[:], encoded[:encodedPrefixLength]); err != nil || !keyer.HasPrefix(plain[p.before:]) {
		return false
	}
	n := toStandard(encoded[:], text)
	n, _ = base64.RawStdEncoding.Decode(plain[:], encoded[:n]) // The bytes decoded before an error are checked.

	return keyer.ContainsKey(bytes.ToLower(plain[:n]))
}

// toStandard copies base64 text up to the first character outside both
// alphabets, converts the URL-safe alphabet to the standard one and returns the
// length.
func toStandard(to, from []byte) int {
	n := copy(to, from)
	for i, c := range to[:n] {
		switch {
		case c == '-':
			to[i] = '+'
		case c == '_':
			to[i] = '/'
		case c != '+' && c != '/' && (c < '0' || c > '9') && (c|caseBit < 'a' || c|caseBit > 'z'):
			return i
		}
	}

	return n
}

// unescape decodes one level of percent escapes, and of those Unicode escapes of
// JSON that encode code points below 256.
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

// escapedAt returns the character at the start of the text, decoded if it is an
// escape, and the number of bytes that it takes up in the text.
func escapedAt(text []byte) (c byte, n int) {
	if text[0] == '%' && len(text) >= percentEscapeLength {
		if v, ok := hexByte(text[1], text[2]); ok {
			return v, percentEscapeLength
		}
	}
	if len(text) >= unicodeEscapeLength && text[0] == '\\' && text[1]|caseBit == 'u' && text[2] == '0' && text[3] == '0' {
		if v, ok := hexByte(text[4], text[5]); ok {
			return v, unicodeEscapeLength
		}
	}

	return text[0], 1
}

func hexByte(high, low byte) (byte, bool) {
	h, ok := hexDigit(high)
	l, lowOK := hexDigit(low)

	return h<<4 | l, ok && lowOK
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c|caseBit >= 'a' && c|caseBit <= 'f':
		return c | caseBit - 'a' + 10, true
	default:
		return 0, false
	}
}
