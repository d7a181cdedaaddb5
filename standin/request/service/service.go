// Package service responds to service calls. The response contains the number of
// runs of the request, so that a test can detect a repeated call.
//
// # Usage
//
//	mux.Handle("/", service.New(engine))
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

// Output is the body of an answer. Echo is the SHA-256 digest of the body of
// the request, in hex.
type Response struct {
	Endpoint string `json:"endpoint"`
	Path     string `json:"path"`
	// Run is the number of this run of the request, counted from 1.
	Run int `json:"run"`
	// BodyDigest is the SHA-256 digest of the request body in hexadecimal.
	BodyDigest string `json:"echo"`
}

// New returns the HTTP handler for service calls.
func New(engine *endpoint.Endpoint) http.Handler {
	return pipeline.Handler(engine, pipeline.Operation[pipeline.Input]{Prepare: prepare, Execute: run})
}

func prepare(input pipeline.Input) (pipeline.Input, int64, error) {
	return input, 0, nil
}

func run(job *pipeline.Run, input pipeline.Input) error {
	if err := job.Wait(job.Endpoint.Config.FirstTokenDelay); err != nil {
		return err
	}
	job.MarkCompleted()
	body, err := json.Marshal(Response{
		Endpoint:   job.Endpoint.Config.Name,
		Path:       input.Path,
		Run:        job.Number,
		BodyDigest: digest(input.Body),
	})
	if err != nil {
		return err
	}
	job.Writer.Header().Set("Content-Type", "application/json")
	job.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = job.Writer.Write(body)
	return err
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
