// Package path_test benchmarks the latency, CPU time and allocations that the router adds
// to a request, compared with a direct call to the endpoint and with a minimal net/http
// proxy (the relay).
//
// # Usage
//
//	go test -run '^$' -bench Answer -count 3 ./proof/request/path
//
// Client, relay, routers and stand-ins all run in this process. The figures include all
// of them, so that the difference between two targets is the cost of the additional hop.
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

// Addresses of the components. Router n listens on 127.0.5.(routerHost+n).
const (
	platformAddress = "127.0.5.150:9100"
	endpointHost    = "127.0.5.151"
	relayAddress    = "127.0.5.152:8000"
	routerHost      = 153
	routerCount     = 3
)

const chatPath = "/v1/chat/completions"

// readyTimeout bounds the start of the routers, each request, and the read of a request's
// header by a server.
const readyTimeout = 20 * time.Second

// target is a path to the endpoint: direct, through the relay or through a router. The
// address is a base URL.
type target struct {
	name    string
	address string
}

// responseKind is the kind of response that a benchmark requests.
type responseKind struct {
	name   string
	stream bool
	tokens int // maximum of the request, which the endpoint stand-in generates in full
}

// BenchmarkAnswer sends one request at a time. It reports the time to the first byte of the
// body (first-us/op) and the CPU time of the whole process (cpu-us/op).
func BenchmarkAnswer(b *testing.B) {
	targets := startFleet(b)
	kinds := []responseKind{
		{"whole4", false, 4},
		{"stream4", true, 4},
		{"stream260", true, 260},
	}
	for _, kind := range kinds {
		for _, target := range targets {
			b.Run(kind.name+"/"+target.name, func(b *testing.B) { measure(b, target, kind) })
		}
	}
}

// BenchmarkParallel sends requests concurrently, for profiles and for the number of
// requests per second.
func BenchmarkParallel(b *testing.B) {
	for _, target := range startFleet(b) {
		b.Run(target.name, func(b *testing.B) {
			client := newClient()
			began, used := time.Now(), cpuTime()
			b.SetParallelism(2)
			b.RunParallel(func(each *testing.PB) {
				for each.Next() {
					if _, err := sendRequest(client, target, responseKind{stream: true, tokens: 32}); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// measure benchmarks the target after 20 unmeasured warm-up requests.
func measure(b *testing.B, target target, kind responseKind) {
	client := newClient()
	for range 20 {
		if _, err := sendRequest(client, target, kind); err != nil {
			b.Fatal(err)
		}
	}
	var first time.Duration
	b.ReportAllocs()
	used := cpuTime()
	for b.Loop() {
		took, err := sendRequest(client, target, kind)
		if err != nil {
			b.Fatal(err)
		}
		first += took
	}
	b.ReportMetric(float64(first.Microseconds())/float64(b.N), "first-us/op")
	b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/op")
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: readyTimeout}
}

// sendRequest sends one request, reads the whole response and returns the time to the
// first byte of its body.
func sendRequest(client *http.Client, target target, kind responseKind) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"stream_options":{"include_usage":true},"max_tokens":%d,`+
		`"messages":[{"role":"user","content":"draft the report"}]}`, declared.Model(0), kind.stream, kind.tokens)
	if !kind.stream {
		body = strings.Replace(body, `"stream_options":{"include_usage":true},`, "", 1)
	}
	request, err := http.NewRequest(http.MethodPost, target.address+chatPath, strings.NewReader(body))
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
		err = fmt.Errorf("%s: status %d: %s", target.name, response.StatusCode, content)
	}
	return first, err
}

// cpuTime returns the CPU time of this process, in user and kernel mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startFleet starts the stand-ins, the relay and the routers, and returns the targets once
// the first router serves requests.
func startFleet(b *testing.B) []target {
	b.Helper()
	clk := clock.New()
	objects := memory.New(clk)
	serve(b, platformAddress, objectapi.New(objects, vmlist.New(clk, 0, vmList())))
	standin := endpoint.New(clk, endpoint.Config{Name: "runner", Slots: 64, QueueLimit: 64, DefaultOutputTokens: 512})
	serve(b, endpointHost+":8000", endpointapi.New(standin))
	serve(b, relayAddress, relay{client: newClient(), target: "http://" + endpointHost + ":8000"})
	publish(b, objects)
	for index := range routerCount {
		startRouter(b, index)
	}
	targets := []target{
		{"direct", "http://" + endpointHost + ":8000"},
		{"relay", "http://" + relayAddress},
		{"router", fmt.Sprintf("http://127.0.5.%d:7070", routerHost)},
	}
	await(b, targets[2])
	return targets
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

func vmList() []vm.VM {
	locality := vm.Locality{Region: "western", AvailabilityZone: "colombo-hall"}
	all := []vm.VM{{Name: "runner", Address: endpointHost, Pool: "runners", Locality: locality, State: vm.Live}}
	for index := range routerCount {
		all = append(all, vm.VM{
			Name: fmt.Sprintf("entry-%d", index), Address: fmt.Sprintf("127.0.5.%d", routerHost+index),
			Pool: "entry", Locality: locality, State: vm.Live,
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

// await sends requests until one succeeds, then waits another second for the peer links
// to be established.
func await(b *testing.B, target target) {
	b.Helper()
	client := newClient()
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := sendRequest(client, target, responseKind{tokens: 1})
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

// relay is a minimal proxy. It copies each request to the target and the response back.
type relay struct {
	client *http.Client
	target string
}

// ServeHTTP implements http.Handler.
func (r relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	outgoing, err := http.NewRequestWithContext(request.Context(), request.Method, r.target+request.URL.Path, request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	outgoing.Header = request.Header.Clone()
	outgoing.ContentLength = request.ContentLength
	response, err := r.client.Do(outgoing)
	if err != nil {
		writer.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(response.StatusCode)
	copyAndFlush(writer, response.Body)
}

// copyAndFlush copies the body and flushes after each read, so that streamed events are
// not delayed.
func copyAndFlush(writer http.ResponseWriter, body io.Reader) {
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
