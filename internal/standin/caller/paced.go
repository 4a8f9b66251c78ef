package caller

import (
	"io"
	"time"
)

// paceSteps is the number of pieces in which a paced body is sent.
const paceSteps = 50

// pacedReader gives out a body in even pieces over a time.
type pacedReader struct {
	body  io.Reader
	piece int64
	pause time.Duration
	left  int64 // of the present piece
}

func newPacedReader(body io.Reader, size int64, over time.Duration) *pacedReader {
	return &pacedReader{body: body, piece: max(1, size/paceSteps), pause: over / paceSteps}
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if p.left == 0 {
		time.Sleep(p.pause)
		p.left = p.piece
	}
	n, err := p.body.Read(b[:min(int64(len(b)), p.left)])
	p.left -= int64(n)
	return n, err
}
