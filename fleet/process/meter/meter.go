// Package meter defines the metrics of a process as OpenTelemetry instruments.
//
// # Usage
//
//	metrics, err := meter.New()
//	metrics.Requests.Add(ctx, 1, meter.Code("ok"))
//	http.Handle("/metrics", metrics.Handler)
package meter

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics holds the instruments of a process.
type Metrics struct {
	// Requests counts completed requests by Code.
	Requests metric.Int64Counter
	// Refusals counts rejected and failed requests by Code.
	Refusals metric.Int64Counter
	// ConnectionsRefused counts refused and replaced connections by Reason.
	ConnectionsRefused metric.Int64Counter
	// Retries counts the attempts of a request after its first.
	Retries metric.Int64Counter
	// Credits counts the credits that requests were charged.
	Credits metric.Int64Counter
	// FramesDropped counts the parts of responses that belong to another attempt.
	FramesDropped metric.Int64Counter
	// PlatformCalls counts the calls to the platform by Operation.
	PlatformCalls metric.Int64Counter
	// FirstByte is the time to the first byte of a response, in seconds.
	FirstByte metric.Float64Histogram
	// RecordWait is the time until a journal entry was recorded durably, in seconds.
	RecordWait metric.Float64Histogram

	// Handler serves the metrics in the Prometheus format.
	Handler http.Handler

	meter metric.Meter
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

// New creates the instruments on a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Annotate(err, "metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	build := &builder{meter: provider.Meter("jacinthpaddle")}
	metrics := &Metrics{
		Requests:           build.counter("requests", "requests answered, by code", "{request}"),
		Refusals:           build.counter("refusals", "requests refused or failed, by code", "{request}"),
		Retries:            build.counter("retries", "attempts after the first", "{attempt}"),
		Credits:            build.counter("credits", "credits charged", "{credit}"),
		FramesDropped:      build.counter("frames_dropped", "frames of another attempt that were dropped", "{frame}"),
		PlatformCalls:      build.counter("platform_calls", "calls to the platform, by operation", "{call}"),
		FirstByte:          build.histogram("first_byte", "time to the first byte of an answer"),
		RecordWait:         build.histogram("record_wait", "time until a journal entry was safe"),
		ConnectionsRefused: build.counter("connections_refused", "connections refused or replaced, by reason", "{connection}"),
		meter:              build.meter,
		Handler:            promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	return metrics, errors.Annotate(build.err, "metrics")
}

// ObservePeers adds a counter of the bytes exchanged with peers. The function read
// returns the totals received and sent. It is called at each scrape.
func (m *Metrics) ObservePeers(read func() (received, sent int64)) error {
	_, err := m.meter.Int64ObservableCounter("peer_bytes",
		metric.WithDescription("bytes exchanged with peers, by direction"), metric.WithUnit("By"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			received, sent := read()
			observer.Observe(received, direction("in"))
			observer.Observe(sent, direction("out"))
			return nil
		}))
	return errors.Annotate(err, "metrics")
}

// ObserveGeneration adds a gauge of the number of the active generation. The function read
// is called at each scrape.
func (m *Metrics) ObserveGeneration(read func() int64) error {
	return m.observeGauge("generation", "number of the active generation", "{generation}", read)
}

// ObserveEvacuations adds a gauge of the evacuated availability zones. The function zones
// returns their number. It is called at each scrape.
func (m *Metrics) ObserveEvacuations(zones func() int64) error {
	return m.observeGauge("evacuated_zones", "availability zones whose endpoints get no new requests", "{zone}", zones)
}

// ObserveSlowEndpoints adds a gauge of the endpoints that report themselves as slow. The
// function read is called at each scrape.
func (m *Metrics) ObserveSlowEndpoints(read func() int64) error {
	return m.observeGauge("endpoints_slow", "endpoints that report themselves as slow", "{endpoint}", read)
}

// ObserveColdEndpoints adds a gauge of the endpoints that are cold and a counter of the
// picks that passed over one. The function read returns both. It is called at each scrape.
func (m *Metrics) ObserveColdEndpoints(read func() (cold, heldBack int64)) error {
	err := m.observeGauge("endpoints_cold", "endpoints that are cold", "{endpoint}", func() int64 {
		cold, _ := read()
		return cold
	})
	if err != nil {
		return err
	}
	return m.observeCounter("cold_held_back", "attempts that passed over a cold endpoint", "{attempt}", func() int64 {
		_, heldBack := read()
		return heldBack
	})
}

// ObserveCreditRefusals adds a counter of the requests that were refused for lack of credits,
// by what was last known of the account. The function totals returns the totals. It is called
// at each scrape.
func (m *Metrics) ObserveCreditRefusals(totals func() map[string]int64) error {
	_, err := m.meter.Int64ObservableCounter("credit_refusals",
		metric.WithDescription("requests refused for lack of credits, by the state of the account"), metric.WithUnit("{request}"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for account, total := range totals() {
				observer.Observe(total, metric.WithAttributes(attribute.String("account", account)))
			}
			return nil
		}))
	return errors.Annotate(err, "metrics")
}

// ObserveLog adds a counter of the log lines that were dropped. The function dropped
// returns the total. It is called at each scrape.
func (m *Metrics) ObserveLog(dropped func() int64) error {
	return m.observeCounter("log_lines_dropped", "log lines that were not written", "{line}", dropped)
}

func (m *Metrics) observeGauge(name, description, unit string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit(unit),
		metric.WithInt64Callback(observe(read)))
	return errors.Annotate(err, "metrics")
}

func (m *Metrics) observeCounter(name, description, unit string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithUnit(unit),
		metric.WithInt64Callback(observe(read)))
	return errors.Annotate(err, "metrics")
}

// observe returns a callback that observes the value that read returns.
func observe(read func() int64) metric.Int64Callback {
	return func(_ context.Context, observer metric.Int64Observer) error {
		observer.Observe(read())
		return nil
	}
}

func direction(name string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("direction", name))
}

// Operation returns the attribute for the operation of a call to the platform.
func Operation(name string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("operation", name))
}

// Reason returns the attribute for the reason of a refused connection.
func Reason(name string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("reason", name))
}

// Code returns the attribute for the result of a request.
func Code(code string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("code", code))
}

func (m *builder) counter(name, description, unit string) metric.Int64Counter {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(description), metric.WithUnit(unit))
	m.recordError(err)
	return counter
}

func (m *builder) histogram(name, description string) metric.Float64Histogram {
	histogram, err := m.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"))
	m.recordError(err)
	return histogram
}

func (m *builder) recordError(err error) {
	if m.err == nil {
		m.err = err
	}
}
