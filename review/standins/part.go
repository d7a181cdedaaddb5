package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// deadlyPart is the part of prompts under which runners crash.
const deadlyPart = "dead91bd"

// Times of the case.
const (
	partTraffic = 25 * time.Second
	// restartAfter is how long a crashed runner is down.
	restartAfter = 2500 * time.Millisecond
	deadlyPause  = 500 * time.Millisecond
	soundClients = 24
)

// playPart sends streamed requests, of which some share a part under which runners crash
// once they begin to write an answer: the runner has sent the head and the first event.
func playPart(log *recorder, trouble bool) (int, error) {
	d, err := newDeployment(log, 2)
	if err != nil {
		return notRun, err
	}
	defer d.stop()
	for range 9 {
		r, err := d.addRunner("pool", 64, 192, 20*time.Millisecond, 25*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		if trouble {
			r.deadly, r.deadlyEvents = deadlyPart, 1
		}
		r.crashed = d.crash
	}
	d.configure()
	if err := d.startRouters(); err != nil {
		return notRun, err
	}
	end := time.Now().Add(partTraffic)
	var sound, deadly prompts
	var group sync.WaitGroup
	for index := range soundClients {
		group.Go(func() { d.sendPrompts(&sound, index, end, 100*time.Millisecond, "") })
	}
	group.Go(func() { d.sendPrompts(&deadly, 0, end, deadlyPause, deadlyPart) })
	group.Go(func() { d.sendPrompts(&deadly, 1, end, deadlyPause, deadlyPart) })
	group.Wait()
	return d.judgePart(&sound, &deadly), nil
}

// crash kills the runner, which starts again under its id after restartAfter.
func (d *deployment) crash(r *runner) {
	if !r.kill() {
		return
	}
	d.book.mu.Lock()
	d.book.crashes = append(d.book.crashes, time.Now())
	d.book.mu.Unlock()
	time.AfterFunc(restartAfter, func() {
		if err := r.start(); err != nil {
			d.log.printf("%s could not start again: %v", r.name, err)
			return
		}
		d.log.printf("%s is back", r.name)
		d.store.put("servers", r.name, r.entry("ready"))
	})
}

// prompts holds the answers to streamed requests.
type prompts struct {
	mu      sync.Mutex
	answers []answer
}

// usage of a streamed request: tokens of its prompt, and at most 42 events.
const promptUsage = "628,294"

// sendPrompts sends one streamed request after the other. All of a client share its parts,
// and the part that is given; the last one is its own. Clients with an odd index use the
// route whose streams may not be resumed.
func (d *deployment) sendPrompts(kept *prompts, index int, end time.Time, pause time.Duration, part string) {
	c := &client{router: d.routers[index%len(d.routers)].front, log: d.log}
	defer c.drop()
	for number := 0; time.Now().Before(end); number++ {
		parts := "shared1:119,"
		if part != "" {
			parts += part + ":79,"
		} else {
			parts += fmt.Sprintf("topic%d:79,", index%4)
		}
		parts += fmt.Sprintf("own%d-%d:430", index, number)
		path := "/draft/a"
		if index%2 == 1 && part == "" {
			path = "/query/a"
		}
		a := c.send(request{method: "POST", path: path, key: tenantKey, body: "prompt", deadline: 12 * time.Second, usage: promptUsage, parts: parts})
		kept.mu.Lock()
		kept.answers = append(kept.answers, a)
		kept.mu.Unlock()
		time.Sleep(pause)
	}
}

func (d *deployment) judgePart(sound, deadly *prompts) int {
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	reached := 0
	if crashes := d.book.crashes; len(crashes) >= 5 {
		from := crashes[4].Add(contactTime)
		for _, a := range d.book.arrivals {
			if strings.Contains(a.parts, deadlyPart+":") && a.at.After(from) {
				reached++
			}
		}
	}
	broken := 0
	for _, a := range sound.answers {
		if a.status == 200 && !a.whole {
			broken++
		}
	}
	d.log.say("requests with the part: %d; crashes: %d; requests with the part that reached runners later than %s after the fifth crash: %d", len(deadly.answers), len(d.book.crashes), contactTime, reached)
	d.log.say("sound streams: %d, of which broken off by crashes: %d", len(sound.answers), broken)
	return verdict(reached > 3)
}
