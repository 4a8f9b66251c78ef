package relaybuf

// part is a part of a response.
type part struct {
	buf *[PartBytes]byte
	n   int
}

// Buffer holds what was received of one response and not yet sent. One goroutine receives and one sends.
type Buffer struct {
	reservation *Reservation
	memory      *Memory
	unreceived  int64 // bytes that are still to be received; -1: unknown

	// Guarded by memory.mu.
	held    []part
	ended   error // set once receiving has ended: io.EOF, or why it failed
	closed  bool  // nothing more will be sent
	sending *[PartBytes]byte
}

// NewBuffer returns an empty buffer that uses a reservation. length is the length of the response in bytes,
// or -1 if it is unknown.
func NewBuffer(r *Reservation, length int64) *Buffer {
	b := &Buffer{reservation: r, memory: r.memory, unreceived: length}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.fitReservation()
	return b
}

// Receive receives the response by calls of read, which is like io.Reader.Read, until it has ended or the
// buffer is closed. It pauses while the memory is used up, and calls waiting before each pause. It reads
// again once something was sent.
func (b *Buffer) Receive(read func(p []byte) (int, error), waiting func()) {
	for {
		buf := b.nextPart(waiting)
		if buf == nil {
			return
		}
		n, err := read(buf[:])
		if !b.add(part{buf, n}, err) {
			return
		}
	}
}

// nextPart waits until memory for another part is available. It returns nil if the buffer was closed.
func (b *Buffer) nextPart(waiting func()) *[PartBytes]byte {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	for announced := false; !b.closed && !b.mayHoldMore(); {
		if !announced {
			waiting()
			announced = true
		}
		b.memory.changed.Wait()
	}
	if b.closed {
		return nil
	}
	return b.memory.parts.Get().(*[PartBytes]byte)
}

// mayHoldMore reports whether another part may be received. The first one always may, so that each response
// makes progress, and so may the end of a response of known length.
func (b *Buffer) mayHoldMore() bool {
	return len(b.held) == 0 || b.unreceived == 0 || b.reservation.extend(b.heldBytes()+PartBytes)
}

// heldBytes returns the memory in use.
func (b *Buffer) heldBytes() int64 { return int64(len(b.held)) * PartBytes }

// add adds a received part, and the error with which receiving ended, or nil. It reports whether to go on.
func (b *Buffer) add(p part, err error) bool {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	defer b.memory.changed.Broadcast()
	if b.unreceived >= 0 {
		b.unreceived = max(0, b.unreceived-int64(p.n))
	}
	switch {
	case p.n == 0:
		b.memory.parts.Put(p.buf)
	case b.merge(p):
		b.memory.parts.Put(p.buf)
	default:
		b.held = append(b.held, p)
	}
	b.ended = err
	return err == nil && !b.closed
}

// merge appends a small part to the last one held, so that many small parts do not take much memory. It
// reports whether it did.
func (b *Buffer) merge(p part) bool {
	if len(b.held) == 0 {
		return false
	}
	last := &b.held[len(b.held)-1]
	if last.n+p.n > PartBytes {
		return false
	}
	copy(last.buf[last.n:], p.buf[:p.n])
	last.n += p.n
	return true
}

// Next returns the next part to be sent. It waits for one, and returns the error with which receiving ended
// once all parts were returned: io.EOF if the response is complete. The part is valid until the next call.
func (b *Buffer) Next() ([]byte, error) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.recycle()
	for len(b.held) == 0 && b.ended == nil {
		b.memory.changed.Wait()
	}
	if len(b.held) == 0 {
		return nil, b.ended
	}
	p := b.held[0]
	b.held = b.held[1:]
	b.sending = p.buf
	b.fitReservation()
	b.memory.changed.Broadcast()
	return p.buf[:p.n], nil
}

// fitReservation releases what the rest of the response cannot need.
func (b *Buffer) fitReservation() {
	if b.unreceived < 0 && b.ended == nil {
		return
	}
	needed := b.heldBytes()
	if b.ended == nil {
		needed += (b.unreceived + PartBytes - 1) / PartBytes * PartBytes
	}
	if needed < b.reservation.bytes {
		b.reservation.resize(needed)
	}
}

// Close ends receiving and frees the parts.
func (b *Buffer) Close() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.closed = true
	b.recycle()
	for _, p := range b.held {
		b.memory.parts.Put(p.buf)
	}
	b.held = nil
	b.memory.changed.Broadcast()
}

// recycle frees the part that was sent last.
func (b *Buffer) recycle() {
	if b.sending != nil {
		b.memory.parts.Put(b.sending)
		b.sending = nil
	}
}
