package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Layout of a frame: marker, length of the payload, CRC-32C of length and payload, payload.
const (
	marker     = 0x4c594a31 // "LYJ1"
	headerSize = 12
	// maxFrame bounds a frame, so that a damaged length is not taken for a huge frame.
	maxFrame = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame puts a payload into a frame.
func encodeFrame(payload []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(out[0:], marker)
	binary.BigEndian.PutUint32(out[4:], uint32(len(payload))) //nolint:gosec // Payloads are far below maxFrame.
	out = append(out, payload...)
	binary.BigEndian.PutUint32(out[8:], checksum(out))
	return out
}

func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[4:8], castagnoli), castagnoli, frame[headerSize:])
}

// decodeFrame returns the payload of the frame at the start of data and the frame's size.
func decodeFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize || binary.BigEndian.Uint32(data) != marker {
		return nil, 0, false
	}
	n := binary.BigEndian.Uint32(data[4:])
	if n > maxFrame || int(n) > len(data)-headerSize {
		return nil, 0, false
	}
	size = headerSize + int(n)
	if binary.BigEndian.Uint32(data[8:]) != checksum(data[:size]) {
		return nil, 0, false
	}
	return data[headerSize:size], size, true
}

// containsFrame reports whether a valid frame starts anywhere in data.
func containsFrame(data []byte) bool {
	var start [4]byte
	binary.BigEndian.PutUint32(start[:], marker)
	for {
		i := bytes.Index(data, start[:])
		if i < 0 {
			return false
		}
		if _, _, ok := decodeFrame(data[i:]); ok {
			return true
		}
		data = data[i+1:]
	}
}

// DamageError names a place in a file that was durable and is no longer readable.
type DamageError struct {
	// File is the name in the data folder.
	File string
	// Offset is the first damaged byte.
	Offset int64
	// Text says what is wrong there.
	Text string
}

// Error names file and offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Text)
}
