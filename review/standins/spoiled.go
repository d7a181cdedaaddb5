package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the cases with spoiled answers.
const (
	spoilAfter = 2 * time.Second
	spoilFor   = 5 * time.Second
	trafficFor = 9 * time.Second
	// spoilEvery spoils one of so many answers: 3 in 100.
	spoilEvery = 34
)

// traffic is what the clients of a case sent and got.
type traffic struct {
	mu      sync.Mutex
	answers []answer
	// attemptsOf has the attempts of each purchase.
	attemptsOf map[string][]string
}

// playRefused lets two of three runners of the counter service send additional bytes after
// 3 in 100 of their answers. The bytes read like a refusal.
func playRefused(log *recorder, trouble bool) (int, error) {
	extras := []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
	}
	d, sent, err := playSpoiled(log, trouble, extras)
	if err != nil {
		return notRun, err
	}
	brokenBy := 0
	for _, a := range sent.answers {
		switch a.status {
		case 408, 421, 429, 503:
			if runs := d.book.runsOf(a.attempt); len(runs) > 0 {
				brokenBy++
				log.say("REFUSED: %s was answered %d, signature %q, and was run by %s", a.attempt, a.status, a.signature, runs[0].runner)
			}
		}
	}
	doubled := 0
	for purchase, attempts := range sent.attemptsOf {
		runs := 0
		for _, attempt := range attempts {
			runs += len(d.book.runsOf(attempt))
		}
		if runs > 1 {
			doubled++
			log.say("%s was run %d times, since its client sent it again after a promise that it had not run: attempts %v", purchase, runs, attempts)
		}
	}
	log.say("unsafe requests sent: %d; refused with a promise although they ran: %d; purchases made twice: %d", len(sent.answers), brokenBy, doubled)
	return verdict(brokenBy > 0), nil
}

// playMixed is playRefused with bytes that read like a success.
func playMixed(log *recorder, trouble bool) (int, error) {
	extras := []string{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nOK"}
	_, sent, err := playSpoiled(log, trouble, extras)
	if err != nil {
		return notRun, err
	}
	brokenBy := 0
	for _, a := range sent.answers {
		if a.status/100 == 2 && (a.signature == "" || a.whole && a.body != "answer to "+a.attempt) {
			brokenBy++
			log.say("MIXED: %s was answered %d, signature %q, body %q", a.attempt, a.status, a.signature, a.body)
		}
	}
	log.say("unsafe requests sent: %d; answered with a success that no runner signed: %d", len(sent.answers), brokenBy)
	return verdict(brokenBy > 0), nil
}

func verdict(isBroken bool) int {
	if isBroken {
		fmt.Println("the rule is broken")
		return broken
	}
	fmt.Println("the rule held")
	return held
}

// playSpoiled sends unsafe requests through three routers to three runners. In the
// trouble, two of the runners send the extra bytes where the next answer is due.
func playSpoiled(log *recorder, trouble bool, extras []string) (*deployment, *traffic, error) {
	d, err := newDeployment(log, 3)
	if err != nil {
		return nil, nil, err
	}
	defer d.stop()
	var spoiling atomic.Bool
	var answers, spoiled atomic.Int64
	for index := range 3 {
		r, err := d.addRunner("desk", 6, 24, 15*time.Millisecond, 0)
		if err != nil {
			return nil, nil, err
		}
		if index == 2 {
			continue
		}
		r.extra = func() string {
			if !spoiling.Load() || answers.Add(1)%spoilEvery != 0 {
				return ""
			}
			return extras[int(spoiled.Add(1))%len(extras)]
		}
	}
	d.configure()
	if err := d.startRouters(); err != nil {
		return nil, nil, err
	}
	if trouble {
		time.AfterFunc(spoilAfter, func() {
			log.printf("two of three runners begin to spoil one answer in %d", spoilEvery)
			spoiling.Store(true)
		})
		time.AfterFunc(spoilAfter+spoilFor, func() {
			log.printf("the runners are sound again")
			spoiling.Store(false)
		})
	}
	sent := d.sendPurchases(trafficFor, 12, 120*time.Millisecond)
	return d, sent, nil
}

// sendPurchases lets clients on kept connections make one purchase after the other. A
// client sends a purchase once more after a promise that it has not run.
func (d *deployment) sendPurchases(duration time.Duration, clients int, pause time.Duration) *traffic {
	sent := &traffic{attemptsOf: make(map[string][]string)}
	end := time.Now().Add(duration)
	var group sync.WaitGroup
	for index := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &client{router: d.routers[index%len(d.routers)].front, log: d.log}
			defer c.drop()
			for number := 0; time.Now().Before(end); number++ {
				purchase := fmt.Sprintf("purchase-%d-%d", index, number)
				for range 2 {
					a := c.send(request{method: "POST", path: "/redeem/spend", key: tenantKey, body: purchase, deadline: 2 * time.Second})
					sent.mu.Lock()
					sent.answers = append(sent.answers, a)
					sent.attemptsOf[purchase] = append(sent.attemptsOf[purchase], a.attempt)
					sent.mu.Unlock()
					if a.status != 408 && a.status != 421 && a.status != 429 && a.status != 503 {
						break
					}
					c.drop()
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(pause)
			}
		}()
	}
	group.Wait()
	return sent
}
