// Package recoverer turns a panic into an error, so that one message or request that
// the code does not expect costs only itself and not the process.
package recoverer

import (
	"fmt"
	"runtime/debug"
)

// PanicError reports a panic.
type PanicError struct {
	value any
	stack string
}

// Error implements error. It contains the stack, by which the fault can be found.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v; report it with this stack: %s", e.value, e.stack)
}

// Do calls f and returns its error, or a *PanicError if it panics. Locks that f holds
// without a deferred unlock stay locked after a panic.
func Do(f func() error) error {
	_, err := Call(func() (struct{}, error) { return struct{}{}, f() })

	return err
}

// Call calls f and returns its results, or a *PanicError if it panics.
func Call[T any](f func() (T, error)) (result T, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{
				value: v,
				stack: string(debug.Stack()),
			}
		}
	}()

	return f()
}
