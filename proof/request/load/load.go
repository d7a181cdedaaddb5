// Package load is an open-loop load generator: it sends chat completion requests at a
// fixed rate, independent of the responses, and counts the responses by outcome.
//
// # Usage
//
//	result := load.Offer(ctx, load.Config{Targets: fleet.CallerURLs(), Rate: 100, Teams: 10, Duration: time.Second})
//	fmt.Println(result.Complete, result.Refused)
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"jacinthpaddle.example/proof/version/declared"
)

// MaxInFlight bounds the concurrent requests. A request that is due beyond it is skipped.
const MaxInFlight = 6000

// requestTimeout bounds one request, including the read of the response body.
const requestTimeout = 30 * time.Second

// Config is the load to offer.
type Config struct {
	// Targets are the base URLs of the routers.
	Targets []string
	// Rate is in requests per second, over all teams and targets.
	Rate     float64
	Duration time.Duration
	Teams    int
	// FirstTeamShare is the fraction of the requests that the first team sends, from
	// 0 to 1. The other teams send equal parts of the rest.
	FirstTeamShare float64
	// TargetsPerTeam is the number of targets that the requests of one team are spread
	// over. Zero means all targets.
	TargetsPerTeam int
	// Stream requests streamed responses.
	Stream bool
	// MaxTokens is the max_tokens parameter of each request.
	MaxTokens int
}

// Result counts the requests of one run by outcome.
type Result struct {
	// Offered counts all requests that were due, including the skipped ones.
	Offered int
	// Skipped counts the requests that were not sent, because MaxInFlight were in
	// progress.
	Skipped int
	// Complete counts the responses with status 200 whose body was read to its end. The
	// content of the body is not checked.
	Complete int
	// Refused counts the error responses whose body states that the request was not run.
	Refused int
	// Other counts all other outcomes: transport errors, truncated responses, and
	// error responses that don't state that the request was not run.
	Other int
	// ByCode counts refusals by their error code, and other outcomes by a description
	// with the prefix "other: ".
	ByCode map[string]int
	// ResponseTimes and RefusalTimes are from the start of a request to the end of the
	// body, for complete responses and for refusals.
	ResponseTimes []time.Duration
	RefusalTimes  []time.Duration
	// CompleteIDs are the request IDs of the complete responses.
	CompleteIDs []string
	// Elapsed is from the first request to the end of the last response.
	Elapsed time.Duration
}

// errorResponse is the part of an error response that classifies it.
type errorResponse struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

// generator is the state of one call of Offer. The mutex guards the result, except for
// Offered, Skipped and Elapsed, which only Offer itself writes.
type generator struct {
	Config
	client *http.Client
	mu     sync.Mutex
	result Result
}

// Offer sends requests at the configured rate until the duration is over or the context
// is canceled, and waits for the last response.
func Offer(ctx context.Context, config Config) Result {
	g := &generator{Config: config, result: Result{ByCode: make(map[string]int)}}
	transport := &http.Transport{MaxIdleConnsPerHost: MaxInFlight}
	defer transport.CloseIdleConnections()
	g.client = &http.Client{Transport: transport, Timeout: requestTimeout}
	inFlight := make(chan struct{}, MaxInFlight)
	began := time.Now()
	var group sync.WaitGroup
	for index := 0; ctx.Err() == nil; index++ {
		dueAfter := time.Duration(float64(index) / config.Rate * float64(time.Second))
		if dueAfter >= config.Duration {
			break
		}
		time.Sleep(time.Until(began.Add(dueAfter)))
		g.result.Offered++
		select {
		case inFlight <- struct{}{}:
		default:
			g.result.Skipped++
			continue
		}
		group.Go(func() {
			g.send(ctx, index)
			<-inFlight
		})
	}
	group.Wait()
	g.result.Elapsed = time.Since(began)
	return g.result
}

// team returns the team that sends the request with the index. The pattern is fixed, so
// that runs of the same configuration are comparable.
func (g *generator) team(index int) int {
	const cycle = 100
	if float64(index%cycle) < g.FirstTeamShare*cycle || g.Teams == 1 {
		return 0
	}
	return 1 + index%(g.Teams-1)
}

// target returns the base URL that the request is sent to. Each team uses its targets
// in turn.
func (g *generator) target(index, team int) string {
	if g.TargetsPerTeam == 0 {
		return g.Targets[index%len(g.Targets)]
	}
	step := index / g.Teams % g.TargetsPerTeam
	return g.Targets[(team*g.TargetsPerTeam+step)%len(g.Targets)]
}

func (g *generator) send(ctx context.Context, index int) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`,
		declared.Model(0), g.Stream, g.MaxTokens, index)
	team := g.team(index)
	target := g.target(index, team) + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+declared.Key(team))
	request.Header.Set("Content-Type", "application/json")
	began := time.Now()
	response, err := g.client.Do(request)
	if err != nil {
		g.update(func(result *Result) { result.addOther(err.Error()) })
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	took := time.Since(began)
	g.update(func(result *Result) { result.classify(response, content, err, took) })
}

func (g *generator) update(apply func(*Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	apply(&g.result)
}

// classify counts one response by its outcome. The content is the body, and err is the
// error from reading it.
func (r *Result) classify(response *http.Response, content []byte, err error, took time.Duration) {
	if err != nil {
		r.addOther("cut off")
		return
	}
	if response.StatusCode == http.StatusOK {
		r.Complete++
		r.ResponseTimes = append(r.ResponseTimes, took)
		r.CompleteIDs = append(r.CompleteIDs, response.Header.Get("X-Request-Id"))
		return
	}
	var typed errorResponse
	if json.Unmarshal(content, &typed) != nil || typed.Error.Run != "not_run" {
		r.addOther(fmt.Sprintf("%d %s %s", response.StatusCode, typed.Error.Code, typed.Error.Run))
		return
	}
	r.Refused++
	r.ByCode[typed.Error.Code]++
	r.RefusalTimes = append(r.RefusalTimes, took)
}

func (r *Result) addOther(code string) {
	r.Other++
	r.ByCode["other: "+code]++
}

// Percentile returns the given percentile of the times, from 0 to 100, and zero if there
// are none.
func Percentile(times []time.Duration, percent int) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[(len(sorted)-1)*percent/100]
}
