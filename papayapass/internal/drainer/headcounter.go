package drainer

import "bytes"

// headCounter counts the lines and bytes of a head as it arrives.
type headCounter struct {
	size, lines int
	// line is the length of the line that has begun.
	line int
	done bool
}

// count counts the bytes and lines of the head in b, and returns them with what follows the head.
func (h *headCounter) count(b []byte) (size, lines int, rest []byte) {
	rest = b
	for !h.done && len(rest) > 0 {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.line += len(rest)
			rest = nil
			break
		}
		lines++
		h.done = h.line+end <= 1 && h.lines > 0 // "\r\n" or "\n"
		h.line = 0
		h.lines++
		rest = rest[end+1:]
	}
	size = len(b) - len(rest)
	h.size += size
	return size, lines, rest
}
