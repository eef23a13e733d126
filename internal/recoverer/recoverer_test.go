package recoverer_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/recoverer"
)

// TestDo checks the error of functions that return, fail and panic.
func TestDo(t *testing.T) {
	failure := errors.New("failure")
	if err := recoverer.Do(func() error { return nil }); err != nil {
		t.Errorf("got %v without a panic", err)
	}
	if err := recoverer.Do(func() error { return failure }); !errors.Is(err, failure) {
		t.Errorf("got %v, want the function's error", err)
	}
	var list []int
	err := recoverer.Do(func() error {
		list[3]++

		return nil
	})
	var p *recoverer.PanicError
	if !errors.As(err, &p) || !strings.Contains(err.Error(), "index out of range") || !strings.Contains(err.Error(), "TestDo") {
		t.Errorf("got %v, want the panic with its stack", err)
	}
}
