package endpoint_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"jacinthpaddle.example/fleet/connection/endpoint"
)

// endless sends the text again and again until the connection is closed, and then sends
// the number of bytes to sent.
func endless(start, text string, sent chan<- int) func(net.Conn, *http.Request) {
	return func(accepted net.Conn, _ *http.Request) {
		block := []byte(strings.Repeat(text, 64))
		total, err := io.WriteString(accepted, start)
		for err == nil {
			var count int
			count, err = accepted.Write(block)
			total += count
		}
		sent <- total
	}
}

// TestHeadWithoutEndFails has endpoints send heads that never end. The transport used to
// read 10 MB of each, which took a router under 60 such responses from 21 MB to 970 MB.
func TestHeadWithoutEndFails(t *testing.T) {
	const line = "X-Filler: 0123456789abcdef0123456789abcdef\r\n"
	tests := []struct{ name, start, text string }{
		{"header lines", "HTTP/1.1 200 OK\r\n", line},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789abcdef"},
		{"one status line", "HTTP/1.1 200 ", "0123456789abcdef"},
		{"informational heads", "", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n"},
		{"empty informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sent := make(chan int, 1)
			address, _ := listen(t, endless(test.start, test.text, sent))
			client, _ := newClient(address)
			_, err := fetch(client, endpoint.Call{Method: http.MethodPost, Path: "/", Limits: endpoint.Limits{Header: time.Minute}})
			var failed *endpoint.CallError
			if !errors.As(err, &failed) {
				t.Fatalf("error: got %v, want a CallError", err)
			}
			if got, want := failed.Phase, endpoint.AfterRequestBytes; got != want {
				t.Errorf("phase: got %s, want %s", got, want)
			}
			// What the kernel buffers on both sides adds to what the client reads.
			const kernelBuffers = 8 << 20
			if got := <-sent; got > endpoint.MaxHeaderBytes+kernelBuffers {
				t.Errorf("sent: got %d bytes, want the connection closed after %d", got, endpoint.MaxHeaderBytes)
			}
		})
	}
}

// TestMeasuredProgress has an endpoint send a byte in each second, with a stall timeout
// of three seconds.
func TestMeasuredProgress(t *testing.T) {
	const stall, seconds = 3 * time.Second, 10
	tests := []struct {
		name string
		// progress is the number of bytes after which the reader reports progress, or
		// zero for never.
		progress int
		want     int
	}{
		{"bytes without content", 0, 2},
		{"content in every second byte", 2, seconds},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next := make(chan bool)
			address, _ := listen(t, func(accepted net.Conn, _ *http.Request) {
				_, _ = io.WriteString(accepted, "HTTP/1.1 200 OK\r\n\r\n")
				for <-next {
					_, _ = io.WriteString(accepted, ":")
				}
				accepted.Close()
			})
			client, clk := newClient(address)
			response, err := client.Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/", Limits: endpoint.Limits{Stall: stall}})
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			response.MeasureProgress()
			read := make(chan error)
			go func() {
				buffer := make([]byte, 1)
				for count := 1; ; count++ {
					_, err := response.Body.Read(buffer)
					if test.progress > 0 && count%test.progress == 0 {
						response.Progressed()
					}
					read <- err
				}
			}()
			got := 0
			for got < seconds {
				if err := clk.BlockUntilContext(t.Context(), 1); err != nil {
					t.Fatal(err)
				}
				clk.Advance(time.Second)
				if test.progress == 0 && time.Duration(got+1)*time.Second == stall {
					// The time without progress is used up, so that no byte is awaited.
					err = <-read
					break
				}
				next <- true
				if err = <-read; err != nil {
					break
				}
				got++
			}
			close(next)
			if got != test.want {
				t.Errorf("bytes before the end: got %d, want %d (%v)", got, test.want, err)
			}
			var failed *endpoint.CallError
			if test.want < seconds && (!errors.As(err, &failed) || !failed.Inactive) {
				t.Errorf("error: got %v, want one that reports inactivity", err)
			}
		})
	}
}
