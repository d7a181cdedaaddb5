package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hangup"] = hangup }

// hangup stops one of two machines as planned, and tells it that its settings file changed
// while it finishes what it has taken. Without the disruption it is only stopped.
func hangup(s *site, trouble bool) bool {
	work := func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/lohu930/2f" {
			events(writer, request, 30, func() time.Duration { return 100 * time.Millisecond })
			return
		}
		if sleep(request, 1500*time.Millisecond) {
			_, _ = fmt.Fprintf(writer, "spent %s", request.Header.Get("Attempt-Id"))
		}
	}
	for index := range 3 {
		s.addRunner("huvo11a", zones[index], 64, work)
	}
	s.configure(1, []route{
		{"name": "r-1", "hostname": s.host, "pathPrefix": "/lohu930/", "kind": "stream", "timeoutMs": 12000,
			"goalMs": 1000, "priority": 0, "service": "huvo11a", "attempts": 1, "public": true, "resumable": false, "gapTargetMs": 500},
		{"name": "r-2", "hostname": s.host, "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 5000,
			"goalMs": 300, "priority": 0, "service": "huvo11a", "attempts": 1, "public": true},
	}, []map[string]any{{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false}}, nil)
	s.addRouter()
	s.addRouter()
	s.waitReady()
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	send := func(sent request) {
		defer wait.Done()
		kept, err := dial(s.routers[0].front())
		if err != nil {
			record.line("request %s: no connection: %v", sent.ID, err)
			return
		}
		defer kept.Close()
		if got := kept.do(s.host, sent); !got.Whole {
			mu.Lock()
			cut++
			mu.Unlock()
		}
	}
	for index := range 10 {
		wait.Add(2)
		go send(request{Method: http.MethodPost, Path: "/lohu930/2f", ID: fmt.Sprintf("9c41d07be2a3%04d", index),
			Deadline: 12 * time.Second, Body: "{\"prompt\":\"report\"}"})
		go send(request{Method: http.MethodPost, Path: "/puxa403/2f", ID: fmt.Sprintf("7a10d07be2a3%04d", index),
			Deadline: 5 * time.Second, Body: "{\"redeem\":1}"})
	}
	time.Sleep(300 * time.Millisecond)
	s.routers[0].signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		s.routers[0].signal(syscall.SIGHUP)
	}
	wait.Wait()
	record.line("%d of 20 requests, all read and passed on before the stop, ended without a complete answer", cut)
	return cut > 0
}
