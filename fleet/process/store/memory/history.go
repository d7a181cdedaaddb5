package memory

import (
	"slices"
	"strings"

	"jacinthpaddle.example/fleet/process/store"
)

// minCompactedLength is the number of changes up to which a history is not compacted.
// A longer one is compacted once more than half of its changes are outdated.
const minCompactedLength = 1024

// history holds the changes of all objects in the order of versions. A compaction
// removes all but the last change of each name. The zero value is empty.
type history struct {
	revision store.Version
	changes  []store.Change
	// names are the names that occur in changes.
	names map[string]struct{}
}

// nextVersion increments the revision and returns it as the version of a write.
func (h *history) nextVersion() store.Version {
	h.revision++
	return h.revision
}

func (h *history) add(change store.Change) {
	if h.names == nil {
		h.names = make(map[string]struct{})
	}
	h.names[change.Name] = struct{}{}
	h.changes = append(h.changes, change)
	if len(h.changes) > max(minCompactedLength, 2*len(h.names)) {
		h.changes = latestByName(h.changes)
	}
}

// changesSince returns the last change of each name under the prefix after the
// version.
func (h *history) changesSince(prefix string, after store.Version) store.Changes {
	start, _ := slices.BinarySearchFunc(h.changes, after+1, func(change store.Change, version store.Version) int {
		return int(change.Version - version)
	})
	matching := []store.Change{}
	for _, change := range h.changes[start:] {
		if strings.HasPrefix(change.Name, prefix) {
			matching = append(matching, change)
		}
	}
	return store.Changes{Version: h.revision, Changed: latestByName(matching)}
}

// latestByName returns the last change of each name, in the order of versions.
func latestByName(changes []store.Change) []store.Change {
	seen := make(map[string]struct{}, len(changes))
	result := make([]store.Change, 0, len(changes))
	for _, change := range slices.Backward(changes) {
		if _, ok := seen[change.Name]; ok {
			continue
		}
		seen[change.Name] = struct{}{}
		result = append(result, change)
	}
	slices.Reverse(result)
	return result
}
