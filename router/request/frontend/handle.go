package frontend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"jacinthpaddle.example/fleet/connection/endpoint"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/meter"
	"jacinthpaddle.example/fleet/request/admission"
	"jacinthpaddle.example/fleet/request/chat"
	"jacinthpaddle.example/fleet/request/intake"
	"jacinthpaddle.example/fleet/request/locate"
	"jacinthpaddle.example/fleet/request/outcome"
	"jacinthpaddle.example/fleet/request/serve"
	"jacinthpaddle.example/fleet/version/declaration"
)

// ChatPath is the path of chat completions at endpoints and at routers.
const ChatPath = "/v1/chat/completions"

// serveChat serves POST /v1/chat/completions.
func (h *Handler) serveChat(writer http.ResponseWriter, request *http.Request) {
	active, team, err := h.authenticate(request)
	if err != nil {
		h.refuse(writer, request, err)
		return
	}
	raw, err := h.readBody(writer, request)
	if err != nil {
		h.refuse(writer, request, err)
		return
	}
	body, err := h.parseChat(raw)
	if err != nil {
		h.refuse(writer, request, err)
		return
	}
	plan, err := admission.Chat(active, team, admission.ChatRequest{
		Model:      body.Model,
		Messages:   body.Messages,
		InputBytes: body.InputBytes(),
		MaxOutput:  body.MaxOutput,
	})
	if err != nil {
		h.refuse(writer, request, err)
		return
	}
	job, err := h.chatJob(plan, body)
	if err != nil {
		h.refuse(writer, request, err)
		return
	}
	if body.Stream {
		h.runStream(writer, request, job, raw)
		return
	}
	h.runBuffered(writer, request, job, raw)
}

// largeChatBytes is the size from which chat completions are parsed one at a time.
const largeChatBytes = 64 << 10

// parseChat parses a chat completion. A large one of very many messages takes a multiple
// of its size while it is parsed.
func (h *Handler) parseChat(raw []byte) (chat.Request, error) {
	if len(raw) > largeChatBytes {
		h.parsing.Lock()
		defer h.parsing.Unlock()
	}
	return chat.ParseRequest(raw)
}

func (h *Handler) chatJob(plan admission.Plan, body chat.Request) (serve.Job, error) {
	encoded, err := body.EncodeForEndpoint(plan.Target, plan.MaxOutput)
	if err != nil {
		return serve.Job{}, err
	}
	job := serve.Job{
		Request:    ident.NewRequest(h.Self),
		Plan:       plan,
		PrefixHash: body.PrefixHash(),
		Call: endpoint.Call{
			Method: http.MethodPost,
			Path:   ChatPath,
			Header: http.Header{"Content-Type": {"application/json"}},
			Body:   encoded,
			Limits: endpoint.Limits{Header: plan.StallTimeout, Stall: plan.StallTimeout},
		},
		Relay: serve.Buffered{MaxBytes: h.Limits.MaxResponseBytes},
	}
	if body.Stream {
		job.Relay = serve.ChatStream{PassUsage: body.IncludeUsage, Log: h.Log, Metrics: h.Metrics}
	}
	return job, nil
}

func (h *Handler) runStream(writer http.ResponseWriter, request *http.Request, job serve.Job, body []byte) {
	sink := &streamSink{
		bufferedSink: bufferedSink{writer: writer},
		flusher:      http.NewResponseController(writer),
		request:      string(job.Request),
	}
	err := h.run(writer, request, job, body, sink)
	h.countOutcome(request, err)
	switch {
	case err == nil:
	case sink.headerWritten:
		sink.abort(err)
	default:
		h.writeError(writer, err)
	}
}

func (h *Handler) runBuffered(writer http.ResponseWriter, request *http.Request, job serve.Job, body []byte) {
	sink := &bufferedSink{writer: writer}
	err := h.run(writer, request, job, body, sink)
	h.countOutcome(request, err)
	if err != nil && !sink.headerWritten {
		h.writeError(writer, err)
	}
}

// countOutcome counts a request in the metrics by its outcome code.
func (h *Handler) countOutcome(request *http.Request, err error) {
	code := "ok"
	if err != nil {
		code = string(toOutcomeError(err).Code)
	}
	h.Metrics.Requests.Add(request.Context(), 1, meter.Code(code))
}

// serveService serves a call of a plain service.
func (h *Handler) serveService(writer http.ResponseWriter, request *http.Request) {
	active, team, err := h.authenticate(request)
	if err != nil {
		h.refuse(writer, request, err)
		return
	}
	plan, err := admission.Service(active, team, request.PathValue("name"))
	if err != nil {
		h.refuse(writer, request, err)
		return
	}
	body, err := h.readBody(writer, request)
	if err != nil {
		h.refuse(writer, request, err)
		return
	}
	h.runBuffered(writer, request, h.serviceJob(plan, request, body), body)
}

func (h *Handler) serviceJob(plan admission.Plan, request *http.Request, body []byte) serve.Job {
	path := "/" + request.PathValue("rest")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	header := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if value := request.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return serve.Job{
		Request: ident.NewRequest(h.Self),
		Plan:    plan,
		Call: endpoint.Call{
			Method: request.Method,
			Path:   path,
			Header: header,
			Body:   body,
			Limits: endpoint.Limits{Header: plan.Timeout, Stall: plan.StallTimeout},
		},
		Relay: serve.Buffered{MaxBytes: h.Limits.MaxResponseBytes},
	}
}

func (h *Handler) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	body, err := h.Bodies.Read(writer, request)
	if err != nil {
		return nil, intake.Refusal(err)
	}
	return body, nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels serves GET /v1/models.
func (h *Handler) serveModels(writer http.ResponseWriter, request *http.Request) {
	active, team, err := h.authenticate(request)
	if err != nil {
		h.writeError(writer, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, route := range active.Set.Routes {
		if _, ok := active.Route(declaration.ModelRoute, route.Name, team.Name); ok {
			list.Data = append(list.Data, modelItem{ID: route.Name, Object: "model", OwnedBy: "jacinthpaddle"})
		}
	}
	h.writeJSON(writer, list)
}

// MaxTickets is the maximum number of tickets in a locate response.
const MaxTickets = 32

// locateBody is the JSON body of a locate response.
type locateBody struct {
	Addresses  []locate.Address `json:"addresses"`
	TTLSeconds float64          `json:"ttl_seconds"`
	Tickets    []string         `json:"tickets"`
}

// serveLocate serves GET /locate. The query parameter region is the region of the caller,
// and tickets is the number of idempotency keys that it requests.
func (h *Handler) serveLocate(writer http.ResponseWriter, request *http.Request) {
	_, team, err := h.authenticate(request)
	if err != nil {
		h.writeError(writer, err)
		return
	}
	query := request.URL.Query()
	tickets, err := ticketCount(query.Get("tickets"))
	if err != nil {
		h.writeError(writer, err)
		return
	}
	response := h.Locator.Locate(team, query.Get("region"), tickets)
	h.writeJSON(writer, locateBody{
		Addresses:  response.Addresses,
		TTLSeconds: response.TTL.Seconds(),
		Tickets:    response.Tickets,
	})
}

func ticketCount(text string) (int, error) {
	if text == "" {
		return 1, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 || count > MaxTickets {
		reason := fmt.Sprintf("must be a number from 0 to %d", MaxTickets)
		return 0, refusal(outcome.BadRequest, "locate", "tickets", reason)
	}
	return count, nil
}

func (h *Handler) writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		return
	}
}
