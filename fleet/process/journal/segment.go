package journal

import (
	"encoding/json"
	"strconv"

	"github.com/juju/errors"

	"jacinthpaddle.example/fleet/process/ident"
)

// Prefix starts the names of all segments in the object store.
const Prefix = "journal/"

// Segment is a batch of entries of one incarnation that is stored as one object.
// Number counts from 1 the segments that one process stores for the incarnation.
type Segment struct {
	Incarnation ident.Incarnation `json:"incarnation" cbor:"incarnation"`
	Number      int64             `json:"segment" cbor:"segment"`
	Entries     []Entry           `json:"entries" cbor:"entries"`
}

// Name returns the object name of a segment that its own incarnation stores.
func (s Segment) Name() string {
	return Prefix + string(s.Incarnation) + "/" + strconv.FormatInt(s.Number, 10)
}

// CopyName returns the object name of a segment that the peer stores for a failed
// incarnation. It differs between peers, so that they do not overwrite each other's
// segments.
func (s Segment) CopyName(peer ident.Incarnation) string {
	return s.Name() + "." + string(peer)
}

// Encode returns the stored form of the segment.
func (s Segment) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	return value, errors.Annotate(err, "journal segment")
}

// DecodeSegment decodes the stored form of a segment.
func DecodeSegment(value []byte) (Segment, error) {
	var segment Segment
	if err := json.Unmarshal(value, &segment); err != nil {
		return Segment{}, errors.Annotate(err, "journal segment")
	}
	return segment, nil
}
