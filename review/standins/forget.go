package main

import (
	"strings"
	"sync"
	"time"
)

// Times of the case.
const (
	// killAfter is the time from the first requests with the part to the kill.
	killAfter = 5 * time.Second
	// downTime is how long the routers are down.
	downTime = time.Second
	// forgetPause is the pause between two requests with the part after the kill.
	forgetPause    = 2 * time.Second
	forgetRequests = 6
)

// playForget lets runners crash under a part of prompts after the head of their answer,
// until the routers have recognised the part. In the trouble, all routers are then killed at
// the same moment and start again.
func playForget(log *recorder, trouble bool) (int, error) {
	d, err := newDeployment(log, 3)
	if err != nil {
		return notRun, err
	}
	defer d.stop()
	for range 9 {
		r, err := d.addRunner("pool", 64, 192, 20*time.Millisecond, 25*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		r.deadly, r.crashed = deadlyPart, d.crash
	}
	d.configure()
	if err := d.startRouters(); err != nil {
		return notRun, err
	}
	var sound, deadly prompts
	d.sendDeadly(&deadly, 2)
	time.Sleep(killAfter)
	if trouble {
		log.say("all routers are killed")
		d.killRouters()
		time.Sleep(downTime)
		if err := d.startRouters(); err != nil {
			return notRun, err
		}
	} else {
		time.Sleep(downTime + contactTime)
	}
	// The machines are in touch again.
	time.Sleep(time.Second)
	from := time.Now()
	log.printf("the machines have been up for longer than %s", contactTime)
	var group sync.WaitGroup
	for index := range soundClients {
		group.Go(func() { d.sendPrompts(&sound, index, from.Add(forgetRequests*forgetPause), 100*time.Millisecond, "") })
	}
	for number := range forgetRequests {
		time.Sleep(forgetPause)
		d.sendPrompts(&deadly, number, time.Now().Add(time.Millisecond), 0, deadlyPart)
	}
	group.Wait()
	return d.judgeForget(from, &sound, &deadly), nil
}

// sendDeadly sends as many requests with the part at once to each router.
func (d *deployment) sendDeadly(kept *prompts, each int) {
	var group sync.WaitGroup
	for index := range each * len(d.routers) {
		group.Go(func() { d.sendPrompts(kept, index, time.Now().Add(time.Millisecond), 0, deadlyPart) })
	}
	group.Wait()
}

func (d *deployment) judgeForget(from time.Time, sound, deadly *prompts) int {
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	crashes := d.book.crashes
	before, reached := 0, 0
	for _, at := range crashes {
		if at.Before(from) {
			before++
		}
	}
	if len(crashes) >= 5 {
		counted := crashes[4].Add(contactTime)
		for _, a := range d.book.arrivals {
			if strings.Contains(a.parts, deadlyPart+":") && a.at.After(counted) && a.at.After(from) {
				reached++
			}
		}
	}
	d.log.say("requests with the part: %d; crashes: %d, of which %d before the machines were in touch again; requests with the part that reached runners after that and later than %s after the fifth crash: %d", len(deadly.answers), len(crashes), before, contactTime, reached)
	cut := 0
	for _, a := range sound.answers {
		if a.status == 200 && !a.whole {
			cut++
		}
	}
	d.log.say("sound streams after that: %d, of which broken off by crashes: %d", len(sound.answers), cut)
	return verdict(reached > 3)
}
