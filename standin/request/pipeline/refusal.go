package pipeline

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// errRefused is the reason in the response to a request with the fault RefuseAll.
const errRefused = errors.ConstError("endpoint refuses all work")

// errorBody is the body of an error response, in the format of the chat completions
// API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

// refuse writes an error response whose X-Run header states that the request has
// not run.
func refuse(w http.ResponseWriter, status int, reason error) {
	errorType := "invalid_request_error"
	if status >= http.StatusTooManyRequests {
		errorType = "unavailable_error"
	}
	w.Header().Set(RunHeader, NotRun)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{
		Message: reason.Error(),
		Type:    errorType,
		Code:    status,
	}})
}
