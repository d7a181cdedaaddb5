package main

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case.
const (
	memoryTraffic = 25 * time.Second
	garbageAfter  = 3 * time.Second
	memoryPoll    = 50 * time.Millisecond
)

// playMemory lets one of nine runners send bodies without end. The platform ends a
// process that uses more memory than its limit.
func playMemory(log *recorder, trouble bool) (int, error) {
	d, err := newDeployment(log, 1)
	if err != nil {
		return notRun, err
	}
	defer d.stop()
	var inTrouble atomic.Bool
	for index := range 9 {
		r, err := d.addRunner("pool", 64, 192, 20*time.Millisecond, 15*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		if index == 0 {
			r.garbage = inTrouble.Load
		}
	}
	d.configure()
	if err := d.startRouters(); err != nil {
		return notRun, err
	}
	if trouble {
		time.AfterFunc(garbageAfter, func() { inTrouble.Store(true) })
	}
	var peak atomic.Int64
	killed := make(chan struct{})
	go d.limitMemory(d.routers[0], &peak, killed)
	end := time.Now().Add(memoryTraffic)
	var sound prompts
	var group sync.WaitGroup
	for index := range 40 {
		group.Go(func() { d.sendPrompts(&sound, index, end, 1000*time.Millisecond, "") })
	}
	group.Wait()
	lost := 0
	for _, a := range sound.answers {
		if a.err != nil && len(d.book.runsOf(a.attempt)) > 0 {
			lost++
		}
	}
	log.say("streams: %d; lost: %d; peak memory %d MB", len(sound.answers), lost, peak.Load())
	select {
	case <-killed:
		return verdict(true), nil
	default:
		return verdict(false), nil
	}
}

// limitMemory kills the process as the platform does once it uses more than its limit.
func (d *deployment) limitMemory(r *router, peak *atomic.Int64, killed chan struct{}) {
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(memoryPoll):
		}
		content, err := os.ReadFile("/proc/" + strconv.Itoa(r.command.Process.Pid) + "/status")
		if err != nil {
			return
		}
		_, rest, _ := strings.Cut(string(content), "VmRSS:")
		fields := strings.Fields(rest)
		kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
		peak.Store(max(peak.Load(), kilobytes>>10))
		if kilobytes>>10 > memoryMB {
			d.log.say("%s uses %d MB of %d MB and is ended", r.name, kilobytes>>10, memoryMB)
			close(killed)
			_ = r.command.Process.Kill()
			return
		}
	}
}
