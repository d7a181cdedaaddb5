package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["rollback"] = rollback }

// rollback has the operator add a key and take it back. One of two machines learns of the key
// from the other while it is cut off from the store, and the other one is removed as planned.
func rollback(s *site, trouble bool) bool {
	const (
		contact = 3 * time.Second
		bound   = 2500 * time.Millisecond
		outer   = 5 * time.Second
		longest = 6 * time.Second
	)
	work := func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(15 * time.Millisecond)
		_, _ = fmt.Fprintf(writer, "balance of %s", request.Header.Get("Tenant"))
	}
	for index := range 3 {
		s.addRunner("wuno96b", zones[index], 6, work)
	}
	routes := []route{{"name": "r-2", "hostname": s.host, "pathPrefix": "/cufi504/", "kind": "safe", "timeoutMs": 2000,
		"goalMs": 120, "priority": 0, "service": "wuno96b", "attempts": 2, "public": false}}
	services := []map[string]any{{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}}
	tenants := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "hule930", "apiKeys": keys, "priority": 1}}
	}
	s.configure(4, routes, services, tenants("n2ctnfzs989anu6wsjnb"))
	s.addRouter()
	s.addRouter()
	cutOff, other := s.routers[0], s.routers[1]
	s.waitReady()
	time.Sleep(3 * time.Second)
	number := 0
	ask := func(to *router, key string) int {
		number++
		kept, err := dial(to.front())
		if err != nil {
			record.line("no connection to %s", to.Name)
			return 0
		}
		defer kept.Close()
		return kept.do(s.host, request{Method: http.MethodGet, Path: "/cufi504/2f", ID: fmt.Sprintf("9c41d07be2a3%04d", number), Key: key, Deadline: 2 * time.Second}).Status
	}
	cutAt := time.Now()
	if trouble {
		record.line("%s is cut off from the store", cutOff.Name)
		cutOff.proxy.setCut(true)
	}
	time.Sleep(300 * time.Millisecond)
	s.configure(7, routes, services, tenants("n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"))
	time.Sleep(700 * time.Millisecond)
	for _, asked := range s.routers {
		record.line("with configuration 7, %s answers the added key with %d", asked.Name, ask(asked, "anfqasnmgkcuyj8pjbvk"))
	}
	if trouble {
		record.line("%s is removed, as planned", other.Name)
		other.signal(syscall.SIGTERM)
		<-other.done
	}
	s.configure(9, routes, services, tenants("n2ctnfzs989anu6wsjnb"))
	acknowledged := time.Now()
	time.Sleep(200 * time.Millisecond)
	cutOff.proxy.setCut(false)
	healed := time.Now()
	if trouble {
		record.line("%s reaches the store again after %.1f s", cutOff.Name, healed.Sub(cutAt).Seconds())
		if healed.Sub(cutAt) > longest {
			abort(fmt.Errorf("the cut took %s", healed.Sub(cutAt)))
		}
	}
	from := healed.Add(contact)
	if bounded := acknowledged.Add(bound + outer); bounded.After(from) {
		from = bounded
	}
	time.Sleep(time.Until(from.Add(500 * time.Millisecond)))
	wrong, asked := 0, 0
	for range 30 {
		asked++
		if ask(cutOff, "anfqasnmgkcuyj8pjbvk") == http.StatusOK {
			wrong++
		}
		if got := ask(cutOff, "n2ctnfzs989anu6wsjnb"); got != http.StatusOK {
			abort(fmt.Errorf("the sound key gets %d", got))
		}
		time.Sleep(500 * time.Millisecond)
	}
	record.line("%d of %d requests with the key that configuration 9 took away were run", wrong, asked)
	return wrong > 0
}
