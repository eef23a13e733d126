package signer_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/lagoonkeel/lagoonkeel/internal/signer"
)

// TestSigner compares with the golden file which VMs accept each other's reports, by their
// keys, through the replacement of a key.
func TestSigner(t *testing.T) {
	report := []byte("a report")
	var out bytes.Buffer
	for _, c := range []struct {
		name     string
		from, to []string
	}{
		{"no keys", nil, nil},
		{"the same key", []string{"old"}, []string{"old"}},
		{"another fleet", []string{"other"}, []string{"old"}},
		{"from a VM without a key", nil, []string{"old"}},
		{"to a VM without a key", []string{"old"}, nil},
		{"replacement: the new key is accepted first", []string{"old"}, []string{"old", "new"}},
		{"replacement: the new key signs", []string{"new", "old"}, []string{"old", "new"}},
		{"replacement: the old key is removed", []string{"new", "old"}, []string{"new"}},
		{"the old key after its removal", []string{"old"}, []string{"new"}},
	} {
		data, err := signer.New(c.to).Open(signer.New(c.from).Sign(bytes.Clone(report)))
		fmt.Fprintf(&out, "%s: same data=%v, error %v\n", c.name, bytes.Equal(data, report), err)
	}
	goldie.New(t).Assert(t, "signer", out.Bytes())
}

// TestChangedBytes checks that a signed report of which a byte was changed or cut off is
// refused.
func TestChangedBytes(t *testing.T) {
	s := signer.New([]string{"key"})
	signed := s.Sign([]byte("a report"))
	for i := range signed {
		changed := bytes.Clone(signed)
		changed[i] ^= 1
		if _, err := s.Open(changed); err == nil {
			t.Errorf("a report with another byte at %d was accepted", i)
		}
		if _, err := s.Open(signed[:i]); err == nil {
			t.Errorf("the first %d bytes of a report were accepted", i)
		}
	}
}
