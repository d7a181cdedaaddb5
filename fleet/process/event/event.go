// Package event writes the log of a process and holds the catalogue of its events.
//
// Each log line is one event and carries its number, by which operators search.
// docs/EVENTS.md lists all events.
//
// # Usage
//
//	log.Emit(event.GenerationActivated, event.Int("generation", 7))
package event

import (
	"io"
	"strings"

	"github.com/sirupsen/logrus"
)

// Kind is one event of the catalogue.
type Kind struct {
	Number  int
	Message string
	Level   logrus.Level
}

// Catalogue of events: 1xxx process, 20xx generations, 21xx evacuations, 3xxx platform, 4xxx quota, 5xxx
// journal, 6xxx peers, 7xxx endpoints, 8xxx requests.
var (
	Started             = Kind{1001, "process started", logrus.InfoLevel}
	Draining            = Kind{1002, "drain started", logrus.InfoLevel}
	Stopped             = Kind{1003, "process stopped", logrus.InfoLevel}
	BadSettings         = Kind{1004, "settings refused", logrus.ErrorLevel}
	ListenFailed        = Kind{1005, "listener failed", logrus.ErrorLevel}
	ControlPanicked     = Kind{1006, "control thread panicked", logrus.ErrorLevel}
	DumpWritten         = Kind{1007, "state dump written", logrus.InfoLevel}
	DrainIncomplete     = Kind{1008, "drain ended with work left", logrus.WarnLevel}
	Reloaded            = Kind{1009, "settings reloaded", logrus.InfoLevel}
	ReloadRefused       = Kind{1010, "reloaded settings refused", logrus.ErrorLevel}
	LibraryMessage      = Kind{1011, "message of a library", logrus.WarnLevel}
	ConnectionRefused   = Kind{1012, "connection refused or replaced", logrus.WarnLevel}
	GenerationActivated = Kind{2001, "generation taken", logrus.InfoLevel}
	GenerationFailed    = Kind{2002, "generation not readable", logrus.WarnLevel}
	HomesDisjoint       = Kind{2003, "route and team have no home region in common", logrus.WarnLevel}
	GenerationSkipped   = Kind{2004, "older generation skipped", logrus.InfoLevel}
	ZoneEvacuated       = Kind{2101, "zone evacuated", logrus.WarnLevel}
	EvacuationWithdrawn = Kind{2102, "evacuation withdrawn", logrus.InfoLevel}
	EvacuationInvalid   = Kind{2103, "evacuation of an unknown zone", logrus.WarnLevel}
	EvacuationsFailed   = Kind{2104, "evacuations not readable", logrus.WarnLevel}
	PlatformUnavailable = Kind{3001, "platform unavailable", logrus.WarnLevel}
	PlatformAvailable   = Kind{3002, "platform available again", logrus.InfoLevel}
	PlatformSilent      = Kind{3003, "connection to the platform gave no reply", logrus.InfoLevel}
	GrantFailed         = Kind{4001, "grant not written", logrus.WarnLevel}
	QuotaReturned       = Kind{4002, "rights returned", logrus.InfoLevel}
	QuotaReclaimed      = Kind{4003, "rights of a lost process reclaimed", logrus.WarnLevel}
	AccountRecordClosed = Kind{4004, "own account record was closed by a peer", logrus.WarnLevel}
	QuotaWrittenOff     = Kind{4005, "rights of a lost process written off", logrus.WarnLevel}
	QuotaGranted        = Kind{4006, "rights drawn", logrus.InfoLevel}
	CreditsRefused      = Kind{4008, "requests refused for lack of credits", logrus.WarnLevel}
	LayoutFailed        = Kind{4007, "layout of the accounts not read", logrus.WarnLevel}
	JournalFailed       = Kind{5001, "journal segment not written", logrus.WarnLevel}
	JournalRecovered    = Kind{5002, "journal of a lost process stored", logrus.InfoLevel}
	JournalFull         = Kind{5003, "journal holds its maximum of entries", logrus.ErrorLevel}
	PeerUp              = Kind{6001, "peer link up", logrus.InfoLevel}
	PeerDown            = Kind{6002, "peer link down", logrus.WarnLevel}
	EndpointEjected     = Kind{7001, "endpoint ejected", logrus.WarnLevel}
	EndpointLeaving     = Kind{7002, "endpoint leaving", logrus.InfoLevel}
	FrameDropped        = Kind{7003, "frame of another attempt dropped", logrus.WarnLevel}
	PartQuarantined     = Kind{7004, "prompt part quarantined", logrus.WarnLevel}
	PartReleased        = Kind{7005, "prompt part released", logrus.InfoLevel}
	EndpointCold        = Kind{7006, "endpoint cold", logrus.InfoLevel}
	EndpointWarm        = Kind{7007, "endpoint warm", logrus.InfoLevel}
	RequestFailed       = Kind{8001, "request failed", logrus.InfoLevel}
	ClaimFailed         = Kind{8002, "claim of an idempotency key not written", logrus.WarnLevel}
	ForwardFailed       = Kind{8003, "request not forwarded to the holder of its key", logrus.WarnLevel}
	RequestRefused      = Kind{8005, "request refused", logrus.InfoLevel}
	RequestServed       = Kind{8006, "request served", logrus.InfoLevel}
	AttemptFailed       = Kind{8007, "attempt failed", logrus.InfoLevel}
	RunPanicked         = Kind{8004, "request with an idempotency key panicked", logrus.ErrorLevel}
)

// All returns the catalogue, sorted by number.
func All() []Kind {
	return []Kind{
		Started, Draining, Stopped, BadSettings, ListenFailed, ControlPanicked, DumpWritten, DrainIncomplete,
		Reloaded, ReloadRefused, LibraryMessage, ConnectionRefused,
		GenerationActivated, GenerationFailed, HomesDisjoint, GenerationSkipped,
		ZoneEvacuated, EvacuationWithdrawn, EvacuationInvalid, EvacuationsFailed,
		PlatformUnavailable, PlatformAvailable, PlatformSilent,
		GrantFailed, QuotaReturned, QuotaReclaimed, AccountRecordClosed, QuotaWrittenOff, QuotaGranted, LayoutFailed, CreditsRefused,
		JournalFailed, JournalRecovered, JournalFull,
		PeerUp, PeerDown,
		EndpointEjected, EndpointLeaving, FrameDropped, PartQuarantined, PartReleased,
		EndpointCold, EndpointWarm,
		RequestFailed, ClaimFailed, ForwardFailed, RunPanicked, RequestRefused, RequestServed, AttemptFailed,
	}
}

// Field is a key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// String returns a field with a string value.
func String[T ~string](key string, value T) Field {
	return Field{Key: key, Value: string(value)}
}

// Int returns a field with an integer value.
func Int[T ~int | ~int64](key string, value T) Field {
	return Field{Key: key, Value: int64(value)}
}

// Bool returns a field with a boolean value.
func Bool(key string, value bool) Field {
	return Field{Key: key, Value: value}
}

// Cause returns a field with the key "error" and the text of the error.
func Cause(err error) Field {
	return Field{Key: "error", Value: err.Error()}
}

// Log writes events as JSON lines. It is safe for concurrent use.
type Log struct {
	entry *logrus.Entry
}

// NewLog returns a log that writes events of the level and above to out. The common
// fields are added to each event.
func NewLog(out io.Writer, level logrus.Level, common ...Field) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return &Log{entry: logrus.NewEntry(logger).WithFields(fieldsOf(common))}
}

// SetLevel writes events of the level and above from now on.
func (l *Log) SetLevel(level logrus.Level) {
	l.entry.Logger.SetLevel(level)
}

// Write implements io.Writer for libraries that log lines of text. Each line becomes
// a LibraryMessage event.
func (l *Log) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	l.Emit(LibraryMessage, String("text", text[:min(len(text), MaxLibraryMessageBytes)]))
	return len(line), nil
}

// MaxLibraryMessageBytes bounds the text of a LibraryMessage event. Longer text is
// cut off.
const MaxLibraryMessageBytes = 200

// Emit writes an event with the number and the message of its kind.
func (l *Log) Emit(kind Kind, fields ...Field) {
	entry := l.entry.WithField("event", kind.Number)
	entry.WithFields(fieldsOf(fields)).Log(kind.Level, kind.Message)
}

func fieldsOf(fields []Field) logrus.Fields {
	converted := make(logrus.Fields, len(fields))
	for _, field := range fields {
		converted[field.Key] = field.Value
	}
	return converted
}
