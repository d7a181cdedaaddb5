// Package path_test measures what the router adds to a request, as against a
// direct call to the endpoint and a bare relay of net/http.
//
// # Usage
//
//	go test -run '^$' -bench Answer -count 3 ./proof/request/path
//
// All parts run in this process, so that a difference between two ways in
// processor time or allocations is the cost of the part that one has more.
package path_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/platform/objectapi"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/proof/version/declared"
	"jacinthpaddle.example/router/process/node"
	"jacinthpaddle.example/standin/process/endpoint"
	"jacinthpaddle.example/standin/process/vmlist"
	"jacinthpaddle.example/standin/request/endpointapi"
)

// Addresses of the parts. The routers have those after routerHost.
const (
	platformAddress = "127.0.5.150:9100"
	engineHost      = "127.0.5.151"
	relayAddress    = "127.0.5.152:8000"
	routerHost      = 153
	routers         = 3
)

const chatPath = "/v1/chat/completions"

// readyTimeout bounds the start of the routers.
const readyTimeout = 20 * time.Second

// way is one way to the endpoint.
type way struct {
	name    string
	address string
}

// answer is one kind of answer.
type answer struct {
	name   string
	stream bool
	tokens int
}

func BenchmarkAnswer(b *testing.B) {
	ways := start(b)
	answers := []answer{
		{"whole4", false, 4},
		{"stream4", true, 4},
		{"stream260", true, 260},
	}
	for _, kind := range answers {
		for _, way := range ways {
			b.Run(kind.name+"/"+way.name, func(b *testing.B) { measure(b, way, kind) })
		}
	}
}

// BenchmarkParallel asks from several callers at once, for profiles and for
// requests a second.
func BenchmarkParallel(b *testing.B) {
	for _, way := range start(b) {
		b.Run(way.name, func(b *testing.B) {
			client := newClient()
			began, used := time.Now(), processorTime()
			b.SetParallelism(2)
			b.RunParallel(func(each *testing.PB) {
				for each.Next() {
					if _, err := ask(client, way, answer{stream: true, tokens: 32}); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
			b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func measure(b *testing.B, way way, kind answer) {
	client := newClient()
	for range 20 {
		if _, err := ask(client, way, kind); err != nil {
			b.Fatal(err)
		}
	}
	var first time.Duration
	b.ReportAllocs()
	used := processorTime()
	for b.Loop() {
		took, err := ask(client, way, kind)
		if err != nil {
			b.Fatal(err)
		}
		first += took
	}
	b.ReportMetric(float64(first.Microseconds())/float64(b.N), "first-us/op")
	b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(b.N), "cpu-us/op")
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: readyTimeout}
}

// ask reads one whole answer and returns the time to its first byte.
func ask(client *http.Client, way way, kind answer) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"stream_options":{"include_usage":true},"max_tokens":%d,`+
		`"messages":[{"role":"user","content":"draft the report"}]}`, declared.Model(0), kind.stream, kind.tokens)
	if !kind.stream {
		body = strings.Replace(body, `"stream_options":{"include_usage":true},`, "", 1)
	}
	request, err := http.NewRequest(http.MethodPost, way.address+chatPath, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+declared.Key(0))
	request.Header.Set("Content-Type", "application/json")
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, err = reader.Peek(1)
	first := time.Since(began)
	if err != nil {
		return 0, err
	}
	content, err := io.ReadAll(reader)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d: %s", way.name, response.StatusCode, content)
	}
	return first, err
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// start runs all parts and returns the ways to the endpoint.
func start(b *testing.B) []way {
	b.Helper()
	clk := clock.New()
	objects := memory.New(clk)
	serve(b, platformAddress, objectapi.New(objects, vmlist.New(clk, 0, list())))
	engine := endpoint.New(clk, endpoint.Config{Name: "runner", Slots: 64, Queue: 64, AnswerTokens: 512})
	serve(b, engineHost+":8000", endpointapi.New(engine))
	serve(b, relayAddress, relay{client: newClient(), target: "http://" + engineHost + ":8000"})
	publish(b, objects)
	for index := range routers {
		startRouter(b, index)
	}
	ways := []way{
		{"direct", "http://" + engineHost + ":8000"},
		{"relay", "http://" + relayAddress},
		{"router", fmt.Sprintf("http://127.0.5.%d:7070", routerHost)},
	}
	await(b, ways[2])
	return ways
}

func serve(b *testing.B, address string, handler http.Handler) {
	b.Helper()
	socket, err := net.Listen("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	go func() { _ = server.Serve(socket) }()
	b.Cleanup(func() { _ = server.Close() })
}

func list() []vm.VM {
	place := vm.Locality{Region: "western", AvailabilityZone: "colombo-hall"}
	all := []vm.VM{{Name: "runner", Address: engineHost, Pool: "runners", Locality: place, State: vm.Live}}
	for index := range routers {
		all = append(all, vm.VM{
			Name: fmt.Sprintf("entry-%d", index), Address: fmt.Sprintf("127.0.5.%d", routerHost+index),
			Pool: "entry", Locality: place, State: vm.Live,
		})
	}
	return all
}

func publish(b *testing.B, objects *memory.Store) {
	b.Helper()
	folder := b.TempDir()
	if err := declared.Write(folder, declared.Size{Teams: 1, Budgets: 1, Models: 1, MaxInFlight: 64}); err != nil {
		b.Fatal(err)
	}
	set, err := declaration.Load(os.DirFS(folder))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := generation.Publish(b.Context(), objects, set, generation.Pointer{}); err != nil {
		b.Fatal(err)
	}
}

func startRouter(b *testing.B, index int) {
	b.Helper()
	settings, err := node.LoadSettings([]byte(fmt.Sprintf("[vm]\nname = entry-%d\naddress = 127.0.5.%d\n"+
		"region = western\navailability_zone = colombo-hall\n[platform]\naddress = %s\n"+
		"[fleet]\nsecret = measure-secret-0001\n[locate]\nttl = 1ms\n", index, routerHost+index, platformAddress)))
	if err != nil {
		b.Fatal(err)
	}
	log := event.NewLog(io.Discard, logrus.ErrorLevel)
	router, err := node.New(settings, node.Deps{Clock: clock.New(), Log: log, Fatal: func(value any) { panic(value) }})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = router.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
}

// await asks until the router answers and its links stand.
func await(b *testing.B, way way) {
	b.Helper()
	client := newClient()
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := ask(client, way, answer{tokens: 1})
		if err == nil {
			time.Sleep(time.Second)
			return
		}
		if time.Now().After(deadline) {
			b.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// relay passes requests to the target and does nothing else.
type relay struct {
	client *http.Client
	target string
}

// ServeHTTP implements http.Handler.
func (p relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	call, err := http.NewRequestWithContext(request.Context(), request.Method, p.target+request.URL.Path, request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	call.Header = request.Header.Clone()
	call.ContentLength = request.ContentLength
	response, err := p.client.Do(call)
	if err != nil {
		writer.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(response.StatusCode)
	copyParts(writer, response.Body)
}

// copyParts flushes each part that was read.
func copyParts(writer http.ResponseWriter, body io.Reader) {
	flusher := http.NewResponseController(writer)
	buffer := make([]byte, 32<<10)
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if _, failed := writer.Write(buffer[:count]); failed != nil || flusher.Flush() != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
