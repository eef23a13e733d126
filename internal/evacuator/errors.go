package evacuator

import "fmt"

// NameError reports a name that no data centre has.
type NameError struct {
	name string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("%q is not the name of a data centre; state the one that the entries of its targets have", e.name)
}

// RefusedError reports that the store refused the record.
type RefusedError struct {
	cause error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store did not accept the record: %v; run the command where operators may write to the store", e.cause)
}

// Unwrap returns the response of the store.
func (e *RefusedError) Unwrap() error { return e.cause }

// UnresolvedError reports that the store was unavailable for too long, so that it is not
// known whether the record was written.
type UnresolvedError struct {
	cause error
}

// Error implements error.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("it is not known whether the record was written: %v; once the store answers, run the same command again", e.cause)
}

// Unwrap returns the last error of the store.
func (e *UnresolvedError) Unwrap() error { return e.cause }
