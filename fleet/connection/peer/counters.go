package peer

import (
	"maps"
	"sync"
)

// Traffic counts messages of one kind and their bytes, without the overhead of WebSocket
// and the layers below.
type Traffic struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// Counters holds the totals of a hub since it started.
type Counters struct {
	// In and Out count received and sent messages by kind, including relayed ones.
	In  map[Kind]Traffic `json:"in"`
	Out map[Kind]Traffic `json:"out"`
	// Dropped counts messages that a full send queue dropped.
	Dropped map[Kind]int64 `json:"dropped"`
	// Ended counts links that ended, by reason.
	Ended map[Reason]int64 `json:"ended"`
	// Relayed counts messages queued for other processes. It includes a message before
	// its receiver can get it.
	Relayed int64 `json:"relayed"`
	// Unrouted counts messages for other processes that could not be forwarded.
	Unrouted int64 `json:"unrouted"`
	// Oversized counts messages that were not sent because they could not be encoded or
	// exceeded MaxFrameBytes.
	Oversized int64 `json:"oversized"`
	// Refused counts accepted connections that failed the handshake or completed it after
	// the hub was closed. Duplicate links are not counted.
	Refused int64 `json:"refused"`
	// FailedDials counts dials that led to no link, except dials of the process's own
	// address, of duplicate links and of targets that were retired meanwhile.
	FailedDials int64 `json:"dials_lost"`
}

// counters guards a hub's Counters by a mutex.
type counters struct {
	mu     sync.Mutex
	values Counters
}

func newCounters() *counters {
	return &counters{values: Counters{
		In:      make(map[Kind]Traffic),
		Out:     make(map[Kind]Traffic),
		Dropped: make(map[Kind]int64),
		Ended:   make(map[Reason]int64),
	}}
}

func (c *counters) update(apply func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apply(&c.values)
}

func (c *counters) sent(kind Kind, bytes int) {
	c.update(func(values *Counters) { values.Out[kind] = values.Out[kind].plus(bytes) })
}

func (c *counters) received(kind Kind, bytes int) {
	c.update(func(values *Counters) { values.In[kind] = values.In[kind].plus(bytes) })
}

func (c *counters) dropped(messages []Message) {
	c.update(func(values *Counters) {
		for _, message := range messages {
			values.Dropped[message.Kind()]++
		}
	})
}

func (t Traffic) plus(bytes int) Traffic {
	return Traffic{Messages: t.Messages + 1, Bytes: t.Bytes + int64(bytes)}
}

// snapshot returns a deep copy of the counters.
func (c *counters) snapshot() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := c.values
	values.In = maps.Clone(c.values.In)
	values.Out = maps.Clone(c.values.Out)
	values.Dropped = maps.Clone(c.values.Dropped)
	values.Ended = maps.Clone(c.values.Ended)
	return values
}
