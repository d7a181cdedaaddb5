package peer

import (
	"math/rand/v2"
	"net/http"
	"time"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/member"
	"jacinthpaddle.example/fleet/process/secret"
)

// Defaults of the settings.
const (
	HeartbeatInterval = time.Second
	SilenceLimit      = 3 * time.Second
	WriteTimeout      = 3 * time.Second
	HandshakeTimeout  = 3 * time.Second
	MinBackoff        = 200 * time.Millisecond
	MaxBackoff        = 10 * time.Second
	QueueLimit        = 1024
)

// Settings of a hub. Self, Secret, Clock and Receiver are required. The zero value of any
// other field is replaced by its default.
type Settings struct {
	Self     member.Member
	Secret   secret.Key
	Clock    clock.Clock
	Receiver Receiver

	HeartbeatInterval time.Duration
	// SilenceLimit is the time without a received frame after which a link is closed.
	SilenceLimit time.Duration
	// WriteTimeout limits the time to write one message, after which a link is closed.
	WriteTimeout time.Duration
	// HandshakeTimeout limits the time to open a link, including the TCP connection on
	// the dialer's side and the exchange of hellos.
	HandshakeTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay between two dials of a target, before
	// jitter.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// QueueLimit is the capacity of the send queue of a link, in messages.
	QueueLimit int

	// Jitter returns the randomized delay to wait for a backoff.
	Jitter func(time.Duration) time.Duration
	// Client opens the connections that the hub dials.
	Client *http.Client
}

func (s Settings) withDefaults() Settings {
	s.HeartbeatInterval = valueOr(s.HeartbeatInterval, HeartbeatInterval)
	s.SilenceLimit = valueOr(s.SilenceLimit, SilenceLimit)
	s.WriteTimeout = valueOr(s.WriteTimeout, WriteTimeout)
	s.HandshakeTimeout = valueOr(s.HandshakeTimeout, HandshakeTimeout)
	s.MinBackoff = valueOr(s.MinBackoff, MinBackoff)
	s.MaxBackoff = valueOr(s.MaxBackoff, MaxBackoff)
	s.QueueLimit = valueOr(s.QueueLimit, QueueLimit)
	if s.Jitter == nil {
		s.Jitter = equalJitter
	}
	if s.Client == nil {
		s.Client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	return s
}

func valueOr[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// equalJitter returns a random delay between half the backoff and the whole of it.
func equalJitter(backoff time.Duration) time.Duration {
	return backoff/2 + rand.N(backoff/2+1)
}
