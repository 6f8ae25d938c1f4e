package journaler

// Frame returns a checksummed frame that contains a payload, for files that are not part of a replicated log.
func Frame(payload []byte) []byte {
	return encodeFrame(payload)
}

// Frames calls f with the payload of every valid frame in data and returns the number of bytes outside valid frames.
// It skips damaged parts, for files whose readers can detect missing payloads.
func Frames(data []byte, f func(payload []byte)) int64 {
	var damaged int64
	for len(data) > 0 {
		payload, size, ok := decodeFrame(data)
		if !ok {
			damaged++
			data = data[1:]
			continue
		}
		f(payload)
		data = data[size:]
	}
	return damaged
}
