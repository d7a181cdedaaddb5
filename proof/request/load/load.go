// Package load offers chat completions at a fixed rate, whatever the answers,
// and sorts what comes back.
//
// # Usage
//
//	result := load.Offer(ctx, load.Config{Targets: fleet.Callers(), Rate: 100, Teams: 10, Duration: time.Second})
//	fmt.Println(result.Good, result.Refused)
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

// MaxInFlight bounds the requests that wait for an answer.
const MaxInFlight = 6000

// requestTimeout is how long a caller waits.
const requestTimeout = 30 * time.Second

// Config says what is offered. LargeShare is the share of the first team, and
// the other teams have equal parts of the rest. A team's requests go to Width
// of the targets, or to all if it is zero.
type Config struct {
	Targets        []string
	Rate           float64
	Duration       time.Duration
	Teams          int
	FirstTeamShare float64
	TargetsPerTeam int
	Stream         bool
	MaxTokens      int
}

// Result counts answers. Untyped are answers that are neither whole nor a typed
// refusal; Skipped were never sent, because MaxOpen were open.
type Result struct {
	Offered       int
	Skipped       int
	Good          int
	Refused       int
	Untyped       int
	ByCode        map[string]int
	ResponseTimes []time.Duration
	RefusalTimes  []time.Duration
	GoodIDs       []string
	Elapsed       time.Duration
}

type refusal struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

type offerer struct {
	Config
	client *http.Client
	mu     sync.Mutex
	result Result
}

// Offer sends requests at the rate and waits for the last answer.
func Offer(ctx context.Context, config Config) Result {
	o := &offerer{Config: config, result: Result{ByCode: make(map[string]int)}}
	transport := &http.Transport{MaxIdleConnsPerHost: MaxInFlight}
	defer transport.CloseIdleConnections()
	o.client = &http.Client{Transport: transport, Timeout: requestTimeout}
	open := make(chan struct{}, MaxInFlight)
	began := time.Now()
	var group sync.WaitGroup
	for index := 0; ctx.Err() == nil; index++ {
		due := time.Duration(float64(index) / config.Rate * float64(time.Second))
		if due >= config.Duration {
			break
		}
		time.Sleep(time.Until(began.Add(due)))
		o.result.Offered++
		select {
		case open <- struct{}{}:
		default:
			o.result.Skipped++
			continue
		}
		group.Go(func() {
			o.one(ctx, index)
			<-open
		})
	}
	group.Wait()
	o.result.Elapsed = time.Since(began)
	return o.result
}

// team spreads the requests by a fixed pattern.
func (o *offerer) team(index int) int {
	const cycle = 100
	if float64(index%cycle) < o.FirstTeamShare*cycle || o.Teams == 1 {
		return 0
	}
	return 1 + index%(o.Teams-1)
}

// target spreads the requests of a team.
func (o *offerer) target(index, team int) string {
	if o.TargetsPerTeam == 0 {
		return o.Targets[index%len(o.Targets)]
	}
	step := index / o.Teams % o.TargetsPerTeam
	return o.Targets[(team*o.TargetsPerTeam+step)%len(o.Targets)]
}

func (o *offerer) one(ctx context.Context, index int) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`,
		declared.Model(0), o.Stream, o.MaxTokens, index)
	team := o.team(index)
	target := o.target(index, team) + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+declared.Key(team))
	request.Header.Set("Content-Type", "application/json")
	began := time.Now()
	response, err := o.client.Do(request)
	if err != nil {
		o.count(func(result *Result) { result.untyped(err.Error()) })
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	took := time.Since(began)
	o.count(func(result *Result) { result.sort(response, content, err, took) })
}

func (o *offerer) count(apply func(*Result)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	apply(&o.result)
}

func (r *Result) sort(response *http.Response, content []byte, err error, took time.Duration) {
	if err != nil {
		r.untyped("cut off")
		return
	}
	if response.StatusCode == http.StatusOK {
		r.Good++
		r.ResponseTimes = append(r.ResponseTimes, took)
		r.GoodIDs = append(r.GoodIDs, response.Header.Get("X-Request-Id"))
		return
	}
	var typed refusal
	if json.Unmarshal(content, &typed) != nil || typed.Error.Run != "not_run" {
		r.untyped(fmt.Sprintf("%d %s %s", response.StatusCode, typed.Error.Code, typed.Error.Run))
		return
	}
	r.Refused++
	r.ByCode[typed.Error.Code]++
	r.RefusalTimes = append(r.RefusalTimes, took)
}

func (r *Result) untyped(code string) {
	r.Untyped++
	r.ByCode["other: "+code]++
}

// Percentile returns the value below which the percentage of the times lies.
func Percentile(times []time.Duration, percent int) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[(len(sorted)-1)*percent/100]
}
