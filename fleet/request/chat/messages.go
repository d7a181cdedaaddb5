package chat

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// messageList is what the router uses of the messages of a request. It keeps the first one
// only: a slice of very many empty messages takes a multiple of their bytes.
type messageList struct {
	first json.RawMessage
	count int
}

// UnmarshalJSON implements json.Unmarshaler. The data are valid JSON.
func (l *messageList) UnmarshalJSON(data []byte) error {
	*l = messageList{}
	if string(data) == "null" {
		return nil
	}
	if len(data) == 0 || data[0] != '[' {
		return &json.UnmarshalTypeError{Value: "value", Type: reflect.TypeFor[[]json.RawMessage](), Field: "messages"}
	}
	l.scan(data)
	return nil
}

// scan counts the elements of a valid JSON array. It does without a decoder, which
// allocates memory for each element.
func (l *messageList) scan(data []byte) {
	depth, start := 0, 1
	quoted, escaped := false, false
	for index, char := range data {
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped = char == '\\'
			quoted = char != '"'
		case char == '"':
			quoted = true
		case char == '[' || char == '{':
			depth++
		case char == ']' || char == '}':
			depth--
		}
		ends := depth == 0 || depth == 1 && char == ',' && !quoted
		if !ends || quoted {
			continue
		}
		if element := bytes.TrimSpace(data[start:index]); len(element) > 0 {
			l.add(element)
		}
		start = index + 1
	}
}

func (l *messageList) add(element []byte) {
	if l.count == 0 {
		l.first = bytes.Clone(element)
	}
	l.count++
}
