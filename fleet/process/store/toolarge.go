package store

import "fmt"

// TooLargeError is returned for a value larger than MaxValueBytes. Nothing has been
// written.
type TooLargeError struct {
	Name  string
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("object %s: value of %d bytes is larger than %d", e.Name, e.Bytes, MaxValueBytes)
}

// CheckSize returns a TooLargeError if the value is larger than MaxValueBytes.
func CheckSize(name string, value []byte) error {
	if len(value) > MaxValueBytes {
		return &TooLargeError{Name: name, Bytes: len(value)}
	}
	return nil
}
