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
	// maxSlots bounds the number of slots.
	maxSlots = 1 << 16
	// maxBorn bounds the start of an incarnation in Unix milliseconds: the end of the year 9999.
	maxBorn = 253402300799999
	// maxSequence bounds the sequence of a heartbeat. Larger integers are not exact in JSON.
	maxSequence = 1<<53 - 1
)

// ErrInvalid is wrapped by all errors about records that no leaf may have.
var ErrInvalid = errors.New("invalid record of a leaf")

// Validate checks that a record can name a leaf and can be sent to all hosts.
func (l *Leaf) Validate() error {
	if err := ValidateIncarnation(l.Name, l.Born); err != nil {
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
	a := l.Address
	switch {
	case !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "":
		return fmt.Errorf("%w: the address %s cannot be connected to", ErrInvalid, a)
	case l.Slots < 0 || l.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots", ErrInvalid, l.Slots)
	case l.Sequence > maxSequence:
		return fmt.Errorf("%w: the sequence %d is out of range", ErrInvalid, l.Sequence)
	}
	return nil
}

// ValidateIncarnation checks the name of a leaf and the start of an incarnation. The name is sent to the leaf in a header
// field, so only visible ASCII characters are permitted.
func ValidateIncarnation(name string, born uint64) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("%w: a name of %d bytes", ErrInvalid, len(name))
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return fmt.Errorf("%w: the name %q has a byte that is no visible ASCII character", ErrInvalid, name)
		}
	}
	if born > maxBorn {
		return fmt.Errorf("%w: the start %d is out of range", ErrInvalid, born)
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
