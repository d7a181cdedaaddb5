package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to the store, for one machine. It can cut that machine off.
type proxy struct {
	Address, target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newProxy(address, target string) *proxy {
	p := &proxy{Address: address, target: target, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", address)
	must(err)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(accepted)
		}
	}()
	return p
}

// setCut resets the connections and all new ones, or ends that.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for open := range p.conns {
			reset(open)
		}
	}
}

func reset(open net.Conn) {
	_ = open.(*net.TCPConn).SetLinger(0)
	_ = open.Close()
}

func (p *proxy) pass(accepted net.Conn) {
	opened, err := net.DialTimeout("tcp", p.target, time.Second)
	p.mu.Lock()
	if p.cut || err != nil {
		p.mu.Unlock()
		reset(accepted)
		if err == nil {
			_ = opened.Close()
		}
		return
	}
	p.conns[accepted], p.conns[opened] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	one := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go one(opened, accepted)
	go one(accepted, opened)
	<-done
	_ = accepted.Close()
	_ = opened.Close()
	p.mu.Lock()
	delete(p.conns, accepted)
	delete(p.conns, opened)
	p.mu.Unlock()
}
