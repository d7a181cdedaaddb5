// Package platformapi is the complete HTTP interface of the simulated platform.
//
// # Usage
//
//	the protocol of package platform
//	PUT    /admin/vms         list of vm.VM, replaces all
//	PUT    /admin/vms/{name}  vm.VM
//	DELETE /admin/vms/{name}
//	PUT    /admin/faults      Faults
//	GET    /admin/counts      memory.Counts
package platformapi

import (
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/process/platform/objectapi"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/standin/process/vmlist"
	"jacinthpaddle.example/standin/request/jsonhttp"
)

// Faults is the body of a request that replaces the injected faults of the object
// API.
type Faults struct {
	Down        bool  `json:"down"`
	DelayMS     int64 `json:"delay_ms"`
	LoseReplies int   `json:"lose_replies"`
}

// New returns the HTTP handler for all paths of the platform.
func New(objects *memory.Store, list *vmlist.List) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", objectapi.New(objects, list))
	mux.HandleFunc("PUT /admin/vms", func(w http.ResponseWriter, r *http.Request) {
		if all, ok := jsonhttp.Read[[]vm.VM](w, r); ok {
			list.Replace(all)
		}
	})
	mux.HandleFunc("PUT /admin/vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		if machine, ok := jsonhttp.Read[vm.VM](w, r); ok {
			machine.Name = r.PathValue("name")
			list.Put(machine)
		}
	})
	mux.HandleFunc("DELETE /admin/vms/{name}", func(_ http.ResponseWriter, r *http.Request) {
		list.Remove(r.PathValue("name"))
	})
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := jsonhttp.Read[Faults](w, r); ok {
			objects.SetFaults(faults.toStore())
		}
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, objects.Counts())
	})
	return mux
}

func (f Faults) toStore() memory.Faults {
	return memory.Faults{
		Down:        f.Down,
		Delay:       time.Duration(f.DelayMS) * time.Millisecond,
		LoseReplies: f.LoseReplies,
	}
}
