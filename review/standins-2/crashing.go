package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crashing"] = crashing }

// crashing has requests with one part in their prompts crash the runner that begins to answer
// them. Without the disruption the part is sound.
func crashing(s *site, trouble bool) bool {
	const (
		shared  = "5c1e07a2:5382"
		part    = "91bd3f06"
		contact = 3 * time.Second
		allowed = 3
		down    = 2 * time.Second
		length  = 92 * time.Second
	)
	var mu sync.Mutex
	var crashes []time.Time
	work := func(self **runner) func(http.ResponseWriter, *http.Request) {
		return func(writer http.ResponseWriter, request *http.Request) {
			if !trouble || !strings.Contains(request.Header.Get("Prefix-Hash"), part) {
				events(writer, request, 20, func() time.Duration { return 50 * time.Millisecond })
				return
			}
			if !sleep(request, 40*time.Millisecond) {
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			record.line("runner %s crashes (crash %d)", (*self).ID, len(crashes))
			mu.Unlock()
			(*self).crash(down)
			panic(http.ErrAbortHandler)
		}
	}
	for index := range 9 {
		var self *runner
		self = s.addRunner("huvo11a", zones[index%3], 64, nil)
		self.Work = work(&self)
	}
	s.configure(1, []route{{"name": "r-1", "hostname": s.host, "pathPrefix": "/lohu930/", "kind": "stream", "timeoutMs": 12000, "goalMs": 1000,
		"priority": 0, "service": "huvo11a", "attempts": 1, "public": true, "sticky": true, "resumable": false, "gapTargetMs": 500}},
		[]map[string]any{{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false}}, nil)
	for range 3 {
		s.addRouter()
	}
	s.waitReady()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	cut := 0
	send := func(id, parts string, at int) {
		defer wait.Done()
		kept, err := dial(s.routers[at].front())
		if err != nil {
			return
		}
		defer kept.Close()
		got := kept.do(s.host, request{Method: http.MethodPost, Path: "/lohu930/2f", ID: id, Deadline: 12 * time.Second,
			Header: []string{"Model: m", "Token-Usage: 6042,140", "Prefix-Hash: " + parts}, Body: "{\"prompt\":\"report\"}"})
		if strings.HasPrefix(id, "50fd") && !got.Whole {
			mu.Lock()
			cut++
			mu.Unlock()
		}
	}
	every := func(pause time.Duration, parts func(int) string, name string) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			for index := 0; ; index++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				wait.Add(1)
				go send(fmt.Sprintf("%s%012d", name, index), parts(index), index%len(s.routers))
			}
		}()
	}
	// Sound requests share the first part with the others.
	every(150*time.Millisecond, func(index int) string {
		return fmt.Sprintf("%s,e4402b%02x:410,%08x:250", shared, index%32, 0xa0000000+index)
	}, "50fd")
	every(7500*time.Millisecond, func(index int) string {
		return fmt.Sprintf("%s,%s:410,%08x:250", shared, part, 0xb0000000+index)
	}, "bad0")
	time.Sleep(length)
	close(stop)
	wait.Wait()
	late := 0
	for _, known := range s.runners {
		for _, came := range known.seen() {
			if len(crashes) >= 5 && strings.HasPrefix(came.ID, "bad0") && came.At.After(crashes[4].Add(contact)) {
				late++
				record.line("request %s reached runner %s %.3f s after the fifth crash", came.ID, known.ID, came.At.Sub(crashes[4]).Seconds())
			}
		}
	}
	record.line("%d crashes, which cut %d sound streams; %d requests with the part reached runners later than contactMs after the fifth crash, %d are allowed", len(crashes), cut, late, allowed)
	return late > allowed
}
