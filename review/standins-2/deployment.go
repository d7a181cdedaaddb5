package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

var record *recorder

// site is a small deployment on loopback addresses of its own.
type site struct {
	prefix  string
	folder  string
	store   *store
	routers []*router
	runners []*runner
	host    string
	// mu is held while a process starts or all end.
	mu sync.Mutex
}

// router is one process of the deploy file.
type router struct {
	Name, IP string
	settings string
	fields   map[string]string
	process  *exec.Cmd
	done     chan struct{}
	proxy    *proxy
}

func (r *router) front() string { return r.IP + ":8227" }

var zones = []string{"colombo-hall", "kandy-depot", "galle-annex"}
var regions = []string{"western", "central", "southern"}

// newSite starts the store. Loopback addresses are drawn, so that runs do not meet.
func newSite(folder string) *site {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		probe, err := net.Listen("tcp", prefix+"7:8223")
		if err != nil {
			continue
		}
		_ = probe.Close()
		return &site{prefix: prefix, folder: folder, store: newStore(prefix + "7:8223"), host: "ficu95.example"}
	}
	abort(errors.New("no free loopback address"))
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)\}\}`)

// render fills in the template as DEPLOY.md says, as far as the project's template needs it.
func render(template string, fields map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9_.]+)\}\}(.*?)\{\{/([a-zA-Z0-9_.]+)\}\}`)
	out := section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		name, inner := parts[1], parts[2]
		if value, ok := fields[name]; ok {
			return placeholder.ReplaceAllStringFunc(inner, func(string) string { return value })
		}
		if name != "zones" {
			return ""
		}
		var entries []string
		for index, zone := range zones {
			entry := strings.ReplaceAll(inner, "{{@}}", zone)
			entry = strings.ReplaceAll(entry, "{{.}}", regions[index])
			comma := ","
			if index == len(zones)-1 {
				comma = ""
			}
			entries = append(entries, strings.ReplaceAll(entry, "{{,}}", comma))
		}
		return strings.Join(entries, "")
	})
	return placeholder.ReplaceAllStringFunc(out, func(text string) string {
		return fields[placeholder.FindStringSubmatch(text)[1]]
	})
}

// addRouter starts one machine with the role of the deploy file.
func (s *site) addRouter() *router {
	index := len(s.routers)
	ip := fmt.Sprintf("%s%d", s.prefix, 40+index)
	zone := index % len(zones)
	added := &router{Name: fmt.Sprintf("front-%s-%d", zones[zone], 1+index/len(zones)), IP: ip}
	added.proxy = newProxy(fmt.Sprintf("%s%d:8223", s.prefix, 40+index), s.store.Address)
	added.fields = map[string]string{
		"node": added.Name, "ip": ip, "zone": zones[zone], "region": regions[zone],
		"listen.front": ip + ":8227", "listen.ready": ip + ":8220", "listen.directory": ip + ":8224",
		"portRange.0": "7340", "portRange.1": "7341",
		"limits.cpuShare": "0.4", "limits.cores": "1", "limits.memoryMb": "284", "limits.maxFds": "4100",
		"bounds.contactMs": "3000", "bounds.drainMs": "2500", "bounds.configMs": "2500",
		"bounds.retrySlack": "54", "bounds.retryWindowS": "10",
		"provider.address": added.proxy.Address, "provider.writesPerS": "400",
	}
	template, err := os.ReadFile("deploy/settings.ini")
	must(err)
	added.settings = filepath.Join(s.folder, added.Name+".conf")
	must(os.WriteFile(added.settings, []byte(render(string(template), added.fields)), 0o600))
	s.mu.Lock()
	defer s.mu.Unlock()
	added.start(s.folder)
	s.routers = append(s.routers, added)
	return added
}

func (r *router) start(folder string) {
	log, err := os.OpenFile(filepath.Join(folder, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	r.process = exec.Command("target/platform", "run")
	r.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "JACINTHPADDLE_NODE_FILE=" + r.settings}
	r.process.Stdout, r.process.Stderr = log, log
	must(r.process.Start())
	_ = log.Close()
	done := make(chan struct{})
	r.done = done
	process := r.process
	go func() {
		err := process.Wait()
		record.line("router %s ended: %v", r.Name, err)
		close(done)
	}()
	record.line("router %s started", r.Name)
}

func (r *router) signal(sent syscall.Signal) {
	record.line("router %s gets signal %v", r.Name, sent)
	_ = r.process.Process.Signal(sent)
}

func (r *router) alive() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// waitReady waits until each router says that it is ready.
func (s *site) waitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, started := range s.routers {
		for {
			response, err := http.Get("http://" + started.IP + ":8220/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				abort(fmt.Errorf("router %s is not ready", started.Name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	record.line("all routers are ready")
}

// clean ends all processes that the case started, and removes their files.
func (s *site) clean() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, started := range s.routers {
		_ = started.process.Process.Kill()
	}
	for _, started := range s.routers {
		<-started.done
	}
	_ = os.RemoveAll(s.folder)
}

// route and service follow the configuration on PROTOCOL.md.
type route map[string]any

func (s *site) configure(version int, routes []route, services []map[string]any, tenants []map[string]any) {
	s.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	record.line("configuration %d is in the store", version)
}
