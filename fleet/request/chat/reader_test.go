package chat_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"jacinthpaddle.example/fleet/request/chat"
)

func TestReaderReturnsEndAndErrorsOfStream(t *testing.T) {
	broken := errors.New("connection lost")
	const frame = `data: {"id": "a", "choices": []}` + "\n\n"
	tests := []struct {
		name   string
		stream io.Reader
		frames int
		want   error
	}{
		{"complete", strings.NewReader(frame + "data: [DONE]\n\n"), 2, io.ErrUnexpectedEOF},
		{"ended after a frame", strings.NewReader(frame), 1, io.ErrUnexpectedEOF},
		{"ended within a frame", strings.NewReader(frame + frame[:12]), 1, io.ErrUnexpectedEOF},
		{"connection lost after a frame", io.MultiReader(strings.NewReader(frame), iotest.ErrReader(broken)), 1, broken},
		{"connection lost within a frame", io.MultiReader(strings.NewReader(frame+frame[:12]), iotest.ErrReader(broken)), 1, broken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := chat.NewReader(test.stream)
			frames := 0
			_, err := reader.Next()
			for err == nil {
				frames++
				_, err = reader.Next()
			}
			if frames != test.frames || !errors.Is(err, test.want) {
				t.Errorf("got %d frames and %v, want %d and %v", frames, err, test.frames, test.want)
			}
		})
	}
}
