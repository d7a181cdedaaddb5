package pipeline

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// errRefused is the answer to a request with the fault RefuseAll.
const errRefused = errors.ConstError("endpoint refuses all work")

// refusal is the body of a refusal, in the form of the chat completions API.
type refusal struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

// refuse answers that nothing of the request ran.
func refuse(w http.ResponseWriter, status int, reason error) {
	kind := "invalid_request_error"
	if status >= http.StatusTooManyRequests {
		kind = "unavailable_error"
	}
	w.Header().Set(RunHeader, NotRun)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal{Error: refusalDetail{
		Message: reason.Error(),
		Type:    kind,
		Code:    status,
	}})
}
