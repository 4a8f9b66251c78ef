package standin

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Query parameters by which a caller asks a target for an answer whose
// content it can check.
const (
	QueryContent = "content" // seed of the answer's body, decimal
	QueryBytes   = "bytes"   // length of the answer's body
)

const (
	wordBytes     = 8
	contentBuffer = 32 << 10
	goldenRatio   = 0x9e3779b97f4a7c15 // increment of splitmix64
)

// Content is an endless stream of bytes that follows from its seed. Two seeds
// give different streams.
type Content struct {
	state uint64
	word  [wordBytes]byte
	used  int
}

// NewContent returns the stream of a seed.
func NewContent(seed uint64) *Content { return &Content{state: seed, used: wordBytes} }

// Read implements io.Reader; it never fails.
func (c *Content) Read(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		if c.used == wordBytes {
			c.next()
		}
		n := copy(p[done:], c.word[c.used:])
		done += n
		c.used += n
	}
	return done, nil
}

// next makes the next word by splitmix64.
func (c *Content) next() {
	c.state += goldenRatio
	z := c.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	binary.LittleEndian.PutUint64(c.word[:], z^z>>31)
	c.used = 0
}

// ContentReader returns the first n bytes of a seed's stream.
func ContentReader(seed uint64, n int64) io.Reader { return io.LimitReader(NewContent(seed), n) }

// buffers holds buffers of contentBuffer bytes.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, contentBuffer)
	return &b
}}

func takeBuffer() *[]byte { return buffers.Get().(*[]byte) }

func giveBuffer(b *[]byte) { buffers.Put(b) }

// Copy is io.Copy with a shared buffer.
func Copy(dst io.Writer, src io.Reader) (int64, error) {
	buffer := takeBuffer()
	defer giveBuffer(buffer)
	// Hide ReadFrom and WriteTo, which would take buffers of their own.
	return io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, *buffer)
}

// The ways in which content can be wrong.
var (
	ErrForeign = errors.New("content is not of this seed")
	ErrShort   = errors.New("content ended early")
	ErrLong    = errors.New("content is too long")
)

// MatchContent reads r to its end and compares it with the beginning of a
// seed's stream. It returns the number of bytes read and whether all of them
// matched. The error is that of r.
func MatchContent(r io.Reader, seed uint64) (total int64, match bool, err error) {
	want := NewContent(seed)
	got, expected := takeBuffer(), takeBuffer()
	defer giveBuffer(got)
	defer giveBuffer(expected)
	match = true
	for {
		k, err := r.Read(*got)
		want.Read((*expected)[:k])
		match = match && bytes.Equal((*got)[:k], (*expected)[:k])
		total += int64(k)
		if errors.Is(err, io.EOF) {
			return total, match, nil
		}
		if err != nil {
			return total, match, err
		}
	}
}

// CheckContent reads r to its end and compares it with the first n bytes of a
// seed's stream. Errors of r itself are returned as they are, unless what came
// before was foreign already.
func CheckContent(r io.Reader, seed uint64, n int64) error {
	total, match, err := MatchContent(r, seed)
	switch {
	case !match:
		return fmt.Errorf("%w: within %d bytes", ErrForeign, total)
	case err != nil:
		return err
	case total > n:
		return fmt.Errorf("%w: %d bytes of %d", ErrLong, total, n)
	case total < n:
		return fmt.Errorf("%w: %d bytes of %d", ErrShort, total, n)
	}
	return nil
}
