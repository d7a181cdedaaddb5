package node_test

import (
	"io"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/connection/peer"
	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/control"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/ident"
	"jacinthpaddle.example/fleet/process/store"
	"jacinthpaddle.example/fleet/process/store/memory"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/fleet/version/generation"
	"jacinthpaddle.example/router/process/node"
)

// generationStep is one event in the life of a router: an operator publishes credits of the
// budget hall, a peer sends a generation with credits, or the router reads the store.
type generationStep struct {
	publish int64
	peer    int64
	credits int64
	read    bool
}

// published returns the step in which an operator publishes the next generation.
func published(credits int64) generationStep { return generationStep{publish: credits} }

// sent returns the step in which a peer sends a generation.
func sent(number, credits int64) generationStep {
	return generationStep{peer: number, credits: credits}
}

// read is the step in which the router reads the store.
var read = generationStep{read: true}

// TestGenerationIsTheNewestFromAnySource guards against a reading that is skipped because it
// equals the reading before, although a peer sent another generation meanwhile: a key that
// was taken away stayed valid for as long as the process lived.
func TestGenerationIsTheNewestFromAnySource(t *testing.T) {
	tests := []struct {
		name        string
		steps       []generationStep
		wantNumber  int64
		wantCredits int64
	}{
		{"taken back while cut off", []generationStep{published(10), read, published(20), sent(2, 20), published(10), read}, 3, 10},
		{"given back while cut off", []generationStep{published(20), read, published(10), sent(2, 10), published(20), read}, 3, 20},
		{"same content under a later number", []generationStep{published(10), read, published(20), published(10), read}, 3, 10},
		{"two versions in one cut, then a peer with the first", []generationStep{published(10), read, published(20), published(10), read, sent(2, 20)}, 3, 10},
		{"reading that is late, then its content again", []generationStep{published(10), published(20), sent(3, 30), read, published(30), published(20), read}, 4, 20},
		{"start with an older generation of a peer", []generationStep{sent(1, 10), published(10), published(20), published(30), read}, 3, 30},
		{"peer ahead by numbers that skip", []generationStep{published(10), read, sent(7, 20), read}, 7, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router, objects := startTestRouter(t, "self", node.DefaultSettings()), memory.New(clock.NewFake())
			reader := router.generationReader(objects)
			for _, step := range test.steps {
				switch {
				case step.read:
					if _, err := reader.Read(t.Context()); err != nil {
						t.Fatal(err)
					}
					router.waitForMessages()
				case step.peer > 0:
					router.deliver("peer", peer.Message{Generation: contentOf(t, step.peer, step.credits)})
					router.waitForMessages()
				default:
					publishCredits(t, objects, step.publish)
				}
			}
			got := control.Query(router.thread, func(state *node.State) generation.Generation { return state.Generation })
			if credits := got.Set.Budgets[0].Purchased; got.Number != test.wantNumber || credits != test.wantCredits {
				t.Errorf("generation: got %d with %d credits, want %d with %d", got.Number, credits, test.wantNumber, test.wantCredits)
			}
		})
	}
}

// generationReader returns a reader that sends to the control thread of the router.
func (r *testRouter) generationReader(objects store.Store) *node.GenerationReader {
	return &node.GenerationReader{
		Objects: objects,
		Thread:  r.thread,
		Log:     event.NewLog(io.Discard, logrus.ErrorLevel),
		Active:  control.Query(r.thread, func(state *node.State) *atomic.Int64 { return state.ActiveNumber }),
	}
}

// creditsOfHall returns declarations of the budget hall.
func creditsOfHall(credits int64) declaration.Set {
	return declaration.Set{Budgets: []declaration.Budget{{Name: "hall", Purchased: credits}}}
}

// contentOf returns the message with which a peer sends a generation.
func contentOf(t *testing.T, number, credits int64) *peer.Generation {
	t.Helper()
	made, err := generation.New(number, creditsOfHall(credits))
	if err != nil {
		t.Fatal(err)
	}
	content, err := generation.Encode(made)
	if err != nil {
		t.Fatal(err)
	}
	return &peer.Generation{Number: number, Content: content}
}

// publishCredits publishes the next generation.
func publishCredits(t *testing.T, objects store.Store, credits int64) {
	t.Helper()
	base, err := generation.FetchPointer(t.Context(), objects)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := generation.Publish(t.Context(), objects, creditsOfHall(credits), base); err != nil {
		t.Fatal(err)
	}
}

// TestAnnouncementOfAPeerThatIsGone guards against a newest generation that its peer never
// sends: generations of other peers, older than that one, were not requested meanwhile.
func TestAnnouncementOfAPeerThatIsGone(t *testing.T) {
	router := newTestRouter(t, 10)
	router.deliver("failed", peer.Message{Generation: &peer.Generation{Number: 11}})
	router.deliver("alive", peer.Message{Generation: &peer.Generation{Number: 9}})
	router.waitForMessages()
	requestedFrom := func(peer ident.Incarnation) int {
		return control.Query(router.thread, func(*node.State) int {
			count := 0
			for _, sent := range router.io.sent {
				if sent.To == peer && sent.Generation != nil && sent.Generation.Wanted {
					count++
				}
			}
			return count
		})
	}
	router.clock.Advance(node.GenerationRequestTimeout)
	router.thread.Send(node.Tick{})
	if got := requestedFrom("alive"); got != 1 {
		t.Errorf("requests to the peer that is alive: got %d, want 1", got)
	}
	router.deliver("alive", peer.Message{Generation: contentOf(t, 9, 20)})
	if got := router.generationNumber(); got != 9 {
		t.Errorf("generation: got %d, want 9", got)
	}
	before := requestedFrom("failed")
	router.thread.Send(node.LinkDown{Remote: "failed", Reason: peer.Silent})
	router.clock.Advance(node.GenerationRequestTimeout)
	router.thread.Send(node.Tick{})
	if got := requestedFrom("failed"); got != before {
		t.Errorf("requests to the failed peer after its link closed: got %d, want %d", got, before)
	}
}
