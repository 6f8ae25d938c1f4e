package journaler

// Frame puts a payload into a frame with a checksum, for files that are not a replicated log.
func Frame(payload []byte) []byte {
	return encodeFrame(payload)
}

// Frames calls f with the payload of every valid frame in data and returns the number of bytes that are in none.
// It passes over damaged parts, for files whose readers can tell what is missing.
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
