// Package service answers calls of plain services. The answer says how often the
// request has run, so that a test sees a call that was repeated.
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

// Answer is the body of an answer. Echo is the SHA-256 digest of the body of
// the request, in hex.
type Answer struct {
	Endpoint string `json:"endpoint"`
	Path     string `json:"path"`
	Run      int    `json:"run"`
	Echo     string `json:"echo"`
}

// New returns the handler of plain calls.
func New(engine *endpoint.Endpoint) http.Handler {
	return pipeline.Handler(engine, pipeline.Kind[pipeline.Input]{Prepare: prepare, Run: run})
}

func prepare(input pipeline.Input) (pipeline.Input, int64, error) {
	return input, 0, nil
}

func run(job *pipeline.Job, input pipeline.Input) error {
	if err := job.Wait(job.Engine.Config.FirstTokenDelay); err != nil {
		return err
	}
	job.Complete()
	body, err := json.Marshal(Answer{
		Endpoint: job.Engine.Config.Name,
		Path:     input.Path,
		Run:      job.Run,
		Echo:     digest(input.Body),
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
