package enroller

import (
	"errors"
	"fmt"
	"unicode/utf8"
)

const (
	// maxNameBytes bounds a leaf's name, and maxTextBytes its service, data centre and program. They keep the roster of a
	// large deployment within one message.
	maxNameBytes = 128
	maxTextBytes = 256
)

// ErrInvalid is wrapped by all errors about records that no leaf may have.
var ErrInvalid = errors.New("invalid record of a leaf")

// Validate checks that a record can name a leaf and can be sent to all hosts.
func (l *Leaf) Validate() error {
	if err := ValidateName(l.Name); err != nil {
		return err
	}
	for _, f := range []struct{ field, text string }{{"service", l.Service}, {"data centre", l.Center}} {
		if f.text == "" {
			return fmt.Errorf("%w: the %s is empty", ErrInvalid, f.field)
		}
		if err := ValidateText(f.field, f.text); err != nil {
			return err
		}
	}
	if err := ValidateText("program", l.Program); err != nil {
		return err
	}
	if l.Slots < 0 {
		return fmt.Errorf("%w: %d slots", ErrInvalid, l.Slots)
	}
	return nil
}

// ValidateName checks the name of a leaf. It is sent to the leaf in a header field, so only visible ASCII characters are
// permitted.
func ValidateName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("%w: a name of %d bytes", ErrInvalid, len(name))
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return fmt.Errorf("%w: the name %q has a byte that is no visible ASCII character", ErrInvalid, name)
		}
	}
	return nil
}

// ValidateText checks that a text can be part of a message to other hosts.
func ValidateText(field, text string) error {
	if len(text) > maxTextBytes || !utf8.ValidString(text) {
		return fmt.Errorf("%w: the %s is longer than %d bytes or not valid UTF-8", ErrInvalid, field, maxTextBytes)
	}
	return nil
}
