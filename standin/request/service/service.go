// Package service responds to service calls, which are all requests that are neither
// chat completions nor administration. The response contains the number of runs of
// the request, so that a test can detect a repeated call.
//
// # Usage
//
//	mux.Handle("/", service.New(ep))
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"

	"jacinthpaddle.example/standin/process/endpoint"
	"jacinthpaddle.example/standin/request/pipeline"
)

// Response is the JSON body of a response.
type Response struct {
	Endpoint string `json:"endpoint"`
	Path     string `json:"path"`
	// Run is the number of this run of the request, counted from 1.
	Run int `json:"run"`
	// BodyDigest is the SHA-256 digest of the request body in hexadecimal.
	BodyDigest string `json:"echo"`
}

// New returns the HTTP handler for service calls.
func New(ep *endpoint.Endpoint) http.Handler {
	return pipeline.Handler(ep, pipeline.Operation[pipeline.Input]{Prepare: prepare, Execute: execute})
}

func prepare(input pipeline.Input) (pipeline.Input, int64, error) {
	return input, 0, nil
}

func execute(run *pipeline.Run, input pipeline.Input) error {
	if err := run.Wait(run.Endpoint.Config.FirstTokenDelay); err != nil {
		return err
	}
	run.MarkCompleted()
	body, err := json.Marshal(Response{
		Endpoint:   run.Endpoint.Config.Name,
		Path:       input.Path,
		Run:        run.Number,
		BodyDigest: digest(input.Body),
	})
	if err != nil {
		return err
	}
	run.Writer.Header().Set("Content-Type", "application/json")
	run.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = run.Writer.Write(body)
	return err
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
