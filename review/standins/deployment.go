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
	"syscall"
	"time"
)

// Names and sizes of the small deployment that all cases use.
const (
	hostName  = "ficu95.example"
	tenantKey = "n2ctnfzs989anu6wsjnb"
	// stride is the number of tokens in one event.
	stride = 7
)

// Bounds of the deployment, as in the settings of the site that the cases name.
const (
	contactTime = 3 * time.Second
	drainTime   = 2500 * time.Millisecond
)

// zones of the deployment, with their regions.
var zones = []struct{ name, region string }{
	{"colombo-hall", "western"}, {"kandy-depot", "central"}, {"galle-annex", "southern"},
}

// deployment is a store, runners and routers on loopback addresses.
type deployment struct {
	// base holds the first three numbers of all addresses.
	base    string
	folder  string
	log     *recorder
	book    *ledger
	store   *store
	network *silenceableListener
	runners []*runner
	routers []*router
}

// router is one process of the system.
type router struct {
	name    string
	front   string
	ready   string
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func newDeployment(log *recorder, count int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, log: log, book: &ledger{}, store: newStore()}
	for range 50 {
		d.base = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", d.base+"200:8223")
		if err == nil {
			d.network = &silenceableListener{Listener: listener}
			break
		}
	}
	if d.network == nil {
		return nil, errors.New("no free loopback address")
	}
	server := &http.Server{Handler: d.store}
	go func() { _ = server.Serve(d.network) }()
	for index := range count {
		address := fmt.Sprintf("%s%d", d.base, 10+index)
		d.routers = append(d.routers, &router{
			name:  fmt.Sprintf("front-%s-%d", zones[index%len(zones)].name, index+1),
			front: address + ":8227",
			ready: address + ":8220",
		})
	}
	return d, nil
}

// addRunner starts a runner and registers it.
func (d *deployment) addRunner(service string, slots, queue int, work, gap time.Duration) (*runner, error) {
	index := len(d.runners)
	r := &runner{
		name:    fmt.Sprintf("i-%s-%d", service, index+1),
		service: service,
		zone:    zones[index%len(zones)].name,
		address: fmt.Sprintf("%s%d:8463", d.base, 100+index),
		slots:   slots, queue: queue, work: work, gap: gap,
		log: d.log, book: d.book,
	}
	if err := r.start(); err != nil {
		return nil, err
	}
	d.runners = append(d.runners, r)
	d.store.put("servers", r.name, r.entry("ready"))
	return r, nil
}

// configure writes the first configuration.
func (d *deployment) configure() {
	route := func(name, prefix, kind, service string, timeoutMs, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs,
			"goalMs": 1000, "priority": 1, "service": service, "attempts": attempts, "public": false,
			"sticky": kind == "stream", "resumable": resumable, "gapTargetMs": 500,
		}
	}
	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route("r-draft", "/draft/", "stream", "pool", 12000, 2, true),
			route("r-query", "/query/", "stream", "pool", 12000, 1, false),
			route("r-redeem", "/redeem/", "unsafe", "desk", 1000, 1, false),
			route("r-balance", "/balance/", "safe", "desk", 1000, 2, false),
		},
		"services": []any{
			map[string]any{"name": "pool", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 488630, "stride": stride, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "hule930", "apiKeys": []string{tenantKey}, "priority": 1, "prepaid": 500_000_000},
		},
	})
}

// fields are the values of the settings template on one machine.
func (d *deployment) fields(r *router, index int) map[string]string {
	address, _, _ := net.SplitHostPort(r.front)
	zone := zones[index%len(zones)]
	return map[string]string{
		"node": r.name, "ip": address, "zone": zone.name, "region": zone.region,
		"limits.cores": "1", "limits.cpuShare": "0.4",
		"listen.front": r.front, "listen.ready": r.ready, "listen.directory": address + ":8224",
		"portRange.0": "7340", "portRange.1": "7355",
		"provider.address": d.network.Addr().String(), "provider.writesPerS": "400",
		"bounds.configMs": "2500", "bounds.drainMs": "2500", "bounds.retrySlack": "54", "bounds.retryWindowS": "10",
	}
}

// render fills the project's own template of settings as the platform does.
func (d *deployment) render(r *router, index int) (string, error) {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return "", err
	}
	var list []string
	for _, zone := range zones {
		list = append(list, zone.name+":"+zone.region)
	}
	text := regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`).ReplaceAllString(string(template), strings.Join(list, ","))
	fields := d.fields(r, index)
	var missing []string
	text = regexp.MustCompile(`\{\{[^}]+\}\}`).ReplaceAllStringFunc(text, func(place string) string {
		value, ok := fields[strings.Trim(place, "{}")]
		if !ok {
			missing = append(missing, place)
		}
		return value
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("unknown placeholders in the template: %v", missing)
	}
	return text, nil
}

// runCommand returns the command of the deploy file.
func runCommand() ([]string, error) {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(content)
	if found == nil {
		return nil, errors.New("deploy/system.toml has no run command")
	}
	return strings.Fields(string(found[1])), nil
}

// startRouters starts all routers and waits until they are ready.
func (d *deployment) startRouters() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	for index, r := range d.routers {
		settings, err := d.render(r, index)
		if err != nil {
			return err
		}
		path := filepath.Join(d.folder, r.name+".conf")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(d.folder, r.name+".log"))
		if err != nil {
			return err
		}
		r.command = exec.Command(command[0], command[1:]...)
		r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "JACINTHPADDLE_NODE_FILE=" + path}
		r.command.Stdout, r.command.Stderr = output, output
		r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := r.command.Start(); err != nil {
			return err
		}
		r.ended = make(chan struct{})
		go func() {
			_ = r.command.Wait()
			close(r.ended)
		}()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, r := range d.routers {
		for !isReady(r) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: see its log in %s", r.name, d.folder)
			}
			time.Sleep(50 * time.Millisecond)
		}
		d.log.printf("%s is ready", r.name)
	}
	// The traffic of the site begins 10 s after the machines start.
	time.Sleep(3 * time.Second)
	return nil
}

func isReady(r *router) bool {
	response, err := http.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// killRouters kills all routers at the same moment.
func (d *deployment) killRouters() {
	for _, r := range d.routers {
		_ = r.command.Process.Kill()
	}
	for _, r := range d.routers {
		<-r.ended
	}
}

// stop ends all processes that were started and removes the folder.
func (d *deployment) stop() {
	for _, r := range d.routers {
		if r.command == nil || r.command.Process == nil || r.ended == nil {
			continue
		}
		_ = r.command.Process.Kill()
		<-r.ended
	}
	for _, r := range d.runners {
		r.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}
