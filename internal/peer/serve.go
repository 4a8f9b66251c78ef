package peer

import (
	"context"

	"github.com/gravitational/trace"
)

// receiveCall starts the handler of a received call.
func (c *conn) receiveCall(f frame) error {
	h := c.link.net.handlers[f.kind]
	if h == nil {
		c.rejectCall(f, "no handler of kind "+f.kind.String())
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	admitted, err := c.beginCall(f.id, cancel)
	if !admitted {
		cancel()
		c.rejectCall(f, ErrBusy.Error())
		return err
	}
	c.link.net.workers.run(func() { c.serveCall(ctx, h, f) })
	return nil
}

func (c *conn) rejectCall(f frame, text string) {
	defer f.payload.release()
	c.replyError(f, text)
}

func (c *conn) replyError(f frame, text string) {
	payload, err := Encode(text)
	if err != nil {
		return
	}
	c.reply(frameError, f.kind, f.id, payload)
}

func (c *conn) beginCall(id uint32, cancel context.CancelFunc) (admitted bool, err error) {
	c.runMu.Lock()
	defer c.runMu.Unlock()
	if _, ok := c.running[id]; ok {
		return false, trace.Wrap(ErrMalformed, "call ID %d is already in use", id)
	}
	if len(c.running) >= c.link.net.opts.MaxCalls {
		return false, nil
	}
	c.running[id] = cancel
	return true, nil
}

// endCall removes a call and cancels its context.
func (c *conn) endCall(id uint32) {
	c.runMu.Lock()
	cancel := c.running[id]
	delete(c.running, id)
	c.runMu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *conn) runningCalls() int {
	c.runMu.Lock()
	defer c.runMu.Unlock()
	return len(c.running)
}

// serveCall runs the handler and queues its response.
func (c *conn) serveCall(ctx context.Context, h Handler, f frame) {
	defer f.payload.release()
	defer c.endCall(f.id)
	resp, err := h(ctx, c.remote, f.bytes())
	if err != nil {
		c.replyError(f, err.Error())
		return
	}
	e := getEncoder()
	defer e.release()
	if err := e.encode(resp); err != nil {
		c.replyError(f, err.Error())
		return
	}
	if e.buf.Len()+frameOverheadBytes > c.link.net.opts.MaxFrameBytes {
		c.replyError(f, ErrTooLarge.Error())
		return
	}
	c.reply(frameResponse, f.kind, f.id, e.buf.Bytes())
}
