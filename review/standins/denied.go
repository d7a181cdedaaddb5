package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case. The trouble comes twice.
const (
	deniedTraffic = 20 * time.Second
	deniedFor     = 5 * time.Second
	deniedFirst   = 2 * time.Second
	deniedSecond  = 11 * time.Second
	// endlessEvery makes one of so many answers endless: 5 in 100.
	endlessEvery = 20
)

// playDenied lets three of five runners send bytes without end in 5 in 100 of their
// answers. The clients use the route whose streams may not be resumed.
func playDenied(log *recorder, trouble bool) (int, error) {
	d, err := newDeployment(log, 3)
	if err != nil {
		return notRun, err
	}
	defer d.stop()
	var inTrouble atomic.Bool
	var answers atomic.Int64
	for index := range 5 {
		r, err := d.addRunner("pool", 64, 192, 20*time.Millisecond, 10*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		if index < 3 {
			r.endless = func() bool { return inTrouble.Load() && answers.Add(1)%endlessEvery == 0 }
		}
	}
	d.configure()
	if err := d.startRouters(); err != nil {
		return notRun, err
	}
	if trouble {
		for _, at := range []time.Duration{deniedFirst, deniedSecond} {
			time.AfterFunc(at, func() { inTrouble.Store(true) })
			time.AfterFunc(at+deniedFor, func() { inTrouble.Store(false) })
		}
	}
	end := time.Now().Add(deniedTraffic)
	var kept prompts
	var group sync.WaitGroup
	for index := range soundClients {
		group.Go(func() { d.sendPrompts(&kept, 2*index+1, end, 50*time.Millisecond, "") })
	}
	group.Wait()
	denied, ran := 0, 0
	statuses := make(map[int]int)
	for _, a := range kept.answers {
		statuses[a.status]++
		if a.status/100 == 3 || a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 {
			if a.signature == "" {
				denied++
				ran += len(d.book.runsOf(a.attempt))
			}
		}
	}
	allowed := 5 + float64(len(kept.answers))/500
	log.say("requests sent: %d, by status of their answers: %v", len(kept.answers), statuses)
	log.say("proper requests ended with a 3xx or 4xx of the system's own: %d, allowed %.1f; of these run by a runner: %d", denied, allowed, ran)
	return verdict(float64(denied) > allowed), nil
}
