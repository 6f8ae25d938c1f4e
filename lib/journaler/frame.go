package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Layout of a frame: marker, payload length, CRC-32C of length and payload, payload.
const (
	marker     = 0x4c594a31 // "LYJ1"
	headerSize = 12
	// maxPayload limits the payload of a frame in bytes, so that a corrupt length is not read as a huge frame.
	maxPayload = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns a frame that contains a payload.
func encodeFrame(payload []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(out[0:], marker)
	binary.BigEndian.PutUint32(out[4:], uint32(len(payload))) //nolint:gosec // Payloads are far below maxPayload.
	out = append(out, payload...)
	binary.BigEndian.PutUint32(out[8:], checksum(out))
	return out
}

func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[4:8], castagnoli), castagnoli, frame[headerSize:])
}

// decodeFrame returns the payload and size of the frame at the start of data, and false when there is no valid frame.
func decodeFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize || binary.BigEndian.Uint32(data) != marker {
		return nil, 0, false
	}
	n := binary.BigEndian.Uint32(data[4:])
	if n > maxPayload || int(n) > len(data)-headerSize {
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

// DamageError reports corruption in data that was durable.
type DamageError struct {
	// File is the name of the file in the data folder.
	File string
	// Offset is the position of the damaged frame.
	Offset int64
	// Text describes the damage.
	Text string
}

// Error returns a message with the file, the offset and the description.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", e.File, e.Offset, e.Text)
}
