package main

import "time"

// Times of the case, from the silence of the connections on.
const (
	// leaveAfter is when the store removes the entry of a runner that leaves.
	leaveAfter = 300 * time.Millisecond
	// serveAfterLeaving is how long the runner serves after that: drainMs and a little
	// longer.
	serveAfterLeaving = drainTime + 600*time.Millisecond
	drainTraffic      = 6 * time.Second
)

// playDrain lets a runner leave that never reports draining: its entry is removed and it
// goes on serving. In the trouble, the connections to the store go silent just before.
func playDrain(log *recorder, trouble bool) (int, error) {
	d, err := newDeployment(log, 3)
	if err != nil {
		return notRun, err
	}
	defer d.stop()
	for range 3 {
		if _, err := d.addRunner("desk", 6, 24, 60*time.Millisecond, 0); err != nil {
			return notRun, err
		}
	}
	leaver := d.runners[0]
	d.configure()
	watches := make(chan struct{}, 1)
	d.store.watching = func(kind string) {
		if kind == "servers" {
			select {
			case watches <- struct{}{}:
			default:
			}
		}
	}
	if err := d.startRouters(); err != nil {
		return notRun, err
	}
	<-watches
	<-watches
	silentAt := time.Now()
	if trouble {
		log.say("%d connections to the store go silent; new ones work", d.network.silence())
	}
	time.AfterFunc(leaveAfter, func() { d.store.remove("servers", leaver.name) })
	removedAt := silentAt.Add(leaveAfter)
	time.AfterFunc(leaveAfter, func() { log.printf("the store has removed the entry of %s, which goes on serving", leaver.name) })
	time.AfterFunc(leaveAfter+serveAfterLeaving, func() {
		log.printf("%s exits", leaver.name)
		leaver.kill()
	})
	sent := d.sendPurchases(drainTraffic, 15, 20*time.Millisecond)

	sentAt := make(map[string]answer)
	for _, a := range sent.answers {
		sentAt[a.attempt] = a
	}
	late, lost := 0, 0
	for _, a := range d.book.arrivals {
		from := sentAt[a.attempt]
		if a.runner != leaver.name || a.at.Before(removedAt.Add(drainTime)) || from.sentAt.Before(silentAt.Add(contactTime)) {
			continue
		}
		late++
		if late <= 5 {
			log.say("DRAIN: %s, sent %.3f s after the connections went silent, reaches %s %.3f s after the store removed it", a.attempt, from.sentAt.Sub(silentAt).Seconds(), a.runner, a.at.Sub(removedAt).Seconds())
		}
		if from.status != 200 && len(d.book.runsOf(a.attempt)) > 0 {
			lost++
			log.say("%s was run by %s and its answer is lost: the client gets status %d", a.attempt, a.runner, from.status)
		}
	}
	log.say("unsafe requests sent: %d; reached the leaving runner later than %s after its removal, sent while the machines were in touch: %d; of these run and lost: %d", len(sent.answers), drainTime, late, lost)
	return verdict(late > 0), nil
}
