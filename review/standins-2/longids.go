package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["longids"] = longIDs }

// memory returns a figure of the process's memory in MB.
func (r *router) memory(figure string) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, figure+":"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// longIDs has one client that the operator doesn't control send requests of legal size with a
// long line. Without the disruption its line is short.
func longIDs(s *site, trouble bool) bool {
	const (
		limit     = 284
		line      = 15_000
		perSecond = 250
		length    = 95 * time.Second
	)
	var ran atomic.Int64
	work := func(writer http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "id: 1\ndata: {\"piece\":1}\n\n")
	}
	for index := range 3 {
		s.addRunner("huvo11a", zones[index], 64, work).Quiet = true
	}
	s.configure(1, []route{{"name": "r-1", "hostname": s.host, "pathPrefix": "/lohu930/", "kind": "stream", "timeoutMs": 3000, "goalMs": 1000,
		"priority": 0, "service": "huvo11a", "attempts": 2, "public": false, "sticky": true, "resumable": false, "gapTargetMs": 500}},
		[]map[string]any{{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 488630, "kvTokenBytes": 18432, "linkMbps": 550000.0, "stride": 7, "models": []map[string]any{{"name": "m"}}}}},
		[]map[string]any{{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1, "prepaid": 2734213},
			{"name": "hule931", "apiKeys": []string{"anfqasnmgkcuyj8pjbvk"}, "priority": 1, "prepaid": 2734213}})
	s.addRouter()
	s.addRouter()
	s.waitReady()
	time.Sleep(3 * time.Second)
	padding := ""
	if trouble {
		padding = strings.Repeat("0", line)
	}
	var mu sync.Mutex
	ends, ordinary := map[int]int{}, map[int]int{}
	numbers := make(chan int)
	var wait sync.WaitGroup
	for range 40 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var kept *connection
			for number := range numbers {
				if kept == nil {
					opened, err := dial(s.routers[0].front())
					if err != nil {
						continue
					}
					kept = opened
				}
				got := kept.send(s.host, request{Method: http.MethodPost, Path: "/lohu930/2f", ID: fmt.Sprintf("%s%016x", padding, number), Key: "n2ctnfzs989anu6wsjnb",
					Deadline: 3 * time.Second, Header: []string{"Model: m", "Token-Usage: 1,1", fmt.Sprintf("Prefix-Hash: 5c1e07a2:1,%08x:1", number)}, Body: "{}"})
				if !got.Whole || got.Head.Get("Connection") == "close" {
					_ = kept.Close()
					kept = nil
				}
				mu.Lock()
				ends[got.Status]++
				mu.Unlock()
			}
		}()
	}
	started := time.Now()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	broken := false
	for number := 0; time.Since(started) < length && !broken; number++ {
		<-ticker.C
		select {
		case numbers <- number:
		default:
		}
		if number%perSecond == 0 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if kept, err := dial(s.routers[0].front()); err == nil {
					got := kept.send(s.host, request{Method: http.MethodPost, Path: "/lohu930/2f", ID: fmt.Sprintf("9c41%012x", number), Key: "anfqasnmgkcuyj8pjbvk", Deadline: 3 * time.Second,
						Header: []string{"Model: m", "Token-Usage: 600,140", fmt.Sprintf("Prefix-Hash: 5c1e07a2:200,%08x:400", number)}, Body: "{}"})
					_ = kept.Close()
					mu.Lock()
					ordinary[got.Status]++
					mu.Unlock()
				}
			}()
			mu.Lock()
			record.line("answers to the client by status: %v; to an ordinary one: %v; run: %d; memory of %s: %d MB", ends, ordinary, ran.Load(), s.routers[0].Name, s.routers[0].memory("VmRSS"))
			mu.Unlock()
			broken = s.routers[0].memory("VmRSS") > limit || !s.routers[0].alive()
		}
	}
	close(numbers)
	wait.Wait()
	record.line("memory of %s at its peak: %d MB, its machine has %d MB; of %s, which the client didn't use: %d MB", s.routers[0].Name, s.routers[0].memory("VmHWM"), limit, s.routers[1].Name, s.routers[1].memory("VmHWM"))
	return broken
}
