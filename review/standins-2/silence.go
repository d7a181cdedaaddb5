package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = silence }

// silence has runners preempt some of their streams for a while, as they do when their memory
// runs out, while a machine is stopped as planned.
func silence(s *site, trouble bool) bool {
	const (
		streams   = 40
		preempted = 8
		usual     = 100 * time.Millisecond
		short     = 3400 * time.Millisecond
	)
	var mu sync.Mutex
	var until time.Time
	newest := map[*runner]int{}
	count := map[*runner]int{}
	work := func(self **runner) func(http.ResponseWriter, *http.Request) {
		return func(writer http.ResponseWriter, request *http.Request) {
			mu.Lock()
			number := count[*self]
			count[*self]++
			mu.Unlock()
			events(writer, request, 30, func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if left := time.Until(until); left > 0 && number < newest[*self] && number >= newest[*self]-preempted {
					return left
				}
				return usual
			})
		}
	}
	for index := range 3 {
		var self *runner
		self = s.addRunner("huvo11a", zones[index], 64, nil)
		self.Work = work(&self)
	}
	s.configure(1, []route{{"name": "r-1", "hostname": s.host, "pathPrefix": "/lohu930/", "kind": "stream", "timeoutMs": 12000, "goalMs": 1000,
		"priority": 0, "service": "huvo11a", "attempts": 2, "public": true, "sticky": true, "resumable": true, "gapTargetMs": 500}},
		[]map[string]any{{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false}}, nil)
	for range 3 {
		s.addRouter()
	}
	s.waitReady()
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	var answers []answer
	for index := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			kept, err := dial(s.routers[0].front())
			must(err)
			defer kept.Close()
			got := kept.do(s.host, request{Method: http.MethodPost, Path: "/lohu930/2f", ID: fmt.Sprintf("9c41d07be2a3%04d", index),
				Deadline: 12 * time.Second, Header: []string{"Model: m", fmt.Sprintf("Prefix-Hash: 5c1e07a2:800,%08x:250", 0xa0000000+index), "Token-Usage: 1050,210"}, Body: "{\"prompt\":\"report\"}"})
			mu.Lock()
			answers = append(answers, got)
			mu.Unlock()
		}()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	s.routers[0].signal(syscall.SIGTERM)
	if trouble {
		mu.Lock()
		until = time.Now().Add(short)
		for _, known := range s.runners {
			newest[known] = count[known]
		}
		mu.Unlock()
		record.line("the newest %d streams of each runner are preempted for %s", preempted, short)
	}
	wait.Wait()
	cut := 0
	for _, got := range answers {
		if !got.Whole {
			cut++
		}
	}
	record.line("%d of %d streams, all passed on before the SIGTERM, ended without a complete answer", cut, streams)
	return cut > 0
}
