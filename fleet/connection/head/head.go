// Package head counts the bytes and lines of the heads of HTTP requests before they are
// parsed. The parser of net/http allocates memory for each line, so that a limit on bytes
// alone does not bound what a head occupies.
//
// # Usage
//
//	var scanner head.Scanner
//	scanner.Begin()                 // before each request
//	added := scanner.Head(buffer)   // for bytes read before the request was parsed
//	scanner.Body(buffer)            // for bytes read after that
package head

// Scanner follows the bytes of a connection. The zero value is ready for the first
// request.
type Scanner struct {
	// Lines and Bytes are those of the current head so far.
	Lines int
	Bytes int
	// text reports whether the current line has a byte other than a line ending.
	text bool
	// started reports whether a line before the current one has text. Empty lines before
	// the request line do not end a head.
	started bool
	// ended is set after the empty line that ends the head.
	ended bool
}

// Begin starts the head of the next request. A part of it may have been read already.
func (s *Scanner) Begin() {
	*s = Scanner{text: s.text}
}

// Head counts bytes that belong to the head up to the empty line that ends it, and
// returns how many lines and bytes of the head were among them.
func (s *Scanner) Head(data []byte) (lines, bytes int) {
	for index, char := range data {
		if s.ended {
			s.Body(data[index:])
			break
		}
		bytes++
		switch char {
		case '\n':
			lines++
			s.ended = s.started && !s.text
			s.started = s.started || s.text
			s.text = false
		case '\r':
		default:
			s.text = true
		}
	}
	s.Lines += lines
	s.Bytes += bytes
	return lines, bytes
}

// Body notes how the data ends, since a part of the next head can follow a body.
func (s *Scanner) Body(data []byte) {
	for index := len(data) - 1; index >= 0; index-- {
		switch data[index] {
		case '\n':
			s.text = false
			return
		case '\r':
		default:
			s.text = true
			return
		}
	}
}
