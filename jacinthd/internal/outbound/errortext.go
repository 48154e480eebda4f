package outbound

import "strings"

// maxErrorText is the maximum size of an error's text, in bytes. Package net/http repeats in its
// errors what it can't read, which may be as long as a header.
const maxErrorText = 200

// A shortError is an error whose text is cut.
type shortError struct {
	cause error
	text  string
}

// Error returns the beginning of the text of the cause.
func (e *shortError) Error() string { return e.text }

// Unwrap returns the cause.
func (e *shortError) Unwrap() error { return e.cause }

// shorten returns err, or an error that wraps it if its text is too long. err may be nil.
func shorten(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxErrorText {
		return err
	}
	return &shortError{cause: err, text: strings.ToValidUTF8(text[:maxErrorText], "") + "..."}
}
