package head_test

import (
	"bytes"
	"strings"
	"testing"

	"jacinthpaddle.example/fleet/connection/head"
)

func TestHeadEndsAtTheEmptyLine(t *testing.T) {
	const text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string]struct {
		sent         string
		lines, bytes int
	}{
		"head":                     {text, 3, len(text)},
		"head and body":            {text + "\n\n\n", 3, len(text)},
		"line feeds alone":         {"GET /\na:\n\n\n\n", 3, 10},
		"empty lines before":       {"\r\n\r\n" + text + "\n", 5, len(text) + 4},
		"empty lines without end":  {strings.Repeat("\r\n", 50), 50, 100},
		"no end":                   {"GET /\r\na: b\r\nc", 2, 14},
		"carriage returns in text": {"GET /\r\r\na\rb:\r\n\r\n\n", 3, 16},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var scanner head.Scanner
			lines, count := scanner.Head([]byte(test.sent))
			if lines != test.lines || count != test.bytes {
				t.Errorf("got %d lines and %d bytes, want %d and %d", lines, count, test.lines, test.bytes)
			}
		})
	}
}

// TestHeadThatBeganBehindABody has the start of the second head arrive with the body of
// the first request.
func TestHeadThatBeganBehindABody(t *testing.T) {
	const second = "GET / HTTP/1.1\r\nHost: a\r\n\r\nbody\n\n"
	for cut := 1; cut < strings.Index(second, "\r\n"); cut++ {
		var scanner head.Scanner
		scanner.Head([]byte("POST / HTTP/1.1\r\n\r\n"))
		scanner.Body([]byte("body\n" + second[:cut]))
		scanner.Begin()
		scanner.Head([]byte(second[cut:]))
		if scanner.Lines != 3 {
			t.Errorf("cut at %d: got %d lines, want 3", cut, scanner.Lines)
		}
	}
}

// FuzzScanner compares a head that arrives at once with one that arrives in two parts.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nbody"), 7)
	f.Add([]byte("\r\n\n\r\nGET /\n\n"), 3)
	f.Add([]byte("a:\r\n\r"), 5)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if cut < 0 || cut > len(data) {
			cut = len(data) / 2
		}
		var whole, parts head.Scanner
		whole.Head(data)
		parts.Head(data[:cut])
		parts.Head(data[cut:])
		if whole.Lines != parts.Lines || whole.Bytes != parts.Bytes {
			t.Errorf("got %d lines and %d bytes, want %d and %d", parts.Lines, parts.Bytes, whole.Lines, whole.Bytes)
		}
		if want := bytes.Count(data[:whole.Bytes], []byte("\n")); whole.Lines != want {
			t.Errorf("lines: got %d, want %d", whole.Lines, want)
		}
	})
}
