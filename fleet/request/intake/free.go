package intake

import "sync"

// pieceBytes is the size of the pieces in which a body is read.
const pieceBytes = 16 << 10

// idlePieces is the number of pieces that are kept while no body uses any.
const idlePieces = 16

// piece is a buffer for a part of a body.
type piece [pieceBytes]byte

// freeList holds the pieces that no body uses. Unlike a sync.Pool it keeps them during a
// garbage collection, so that all pieces together never take more than the bodies that
// are read at one time. It is safe for concurrent use.
type freeList struct {
	mu     sync.Mutex
	pieces []*piece
	// used is the number of pieces that bodies use.
	used int
}

// take returns a piece with any content.
func (f *freeList) take() *piece {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used++
	last := len(f.pieces) - 1
	if last < 0 {
		return new(piece)
	}
	taken := f.pieces[last]
	f.pieces[last] = nil
	f.pieces = f.pieces[:last]
	return taken
}

// put returns pieces that are no longer used.
func (f *freeList) put(pieces []*piece) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used -= len(pieces)
	f.pieces = append(f.pieces, pieces...)
	if f.used == 0 && len(f.pieces) > idlePieces {
		f.pieces = append([]*piece(nil), f.pieces[:idlePieces]...)
	}
}
