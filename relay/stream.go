package relay

// A stream is forwarded event by event: an incomplete event is not forwarded,
// and no event is forwarded twice. A stream that breaks is continued by another
// upstream after the last event, within the same answer:
//
//	upstream 1:  id 1, id 2, (breaks)
//	upstream 2:  Last-Event-Id: 2 -> id 3, id 4, end
//	caller:      id 1, id 2, id 3, id 4, end

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
)

const (
	// maxEventBytes bounds one event.
	maxEventBytes    = 1 << 20
	eventBufferBytes = 4 << 10
)

var (
	errPartialEvent     = errors.New("stream ended within an event")
	errEventTooLong     = errors.New("event too long")
	errNoEvents         = errors.New("stream ended without any event")
	errMissingEvents    = errors.New("event ids skip numbers")
	errNoSignature      = errors.New("stream without a signature or with a content encoding")
	errCallerNotReading = errors.New("writing to the caller failed")
)

var idFieldPrefix = []byte("id:")

// event is one event with its bytes in the stream.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into events.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
}

func newEventReader(resp *http.Response) *eventReader {
	return &eventReader{br: bufio.NewReaderSize(resp.Body, eventBufferBytes)}
}

// next returns the next complete event, and io.EOF if the stream ended between two events.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	ev := event{}
	for {
		line, err := e.br.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.buf) > maxEventBytes {
				return ev, errEventTooLong
			}
			continue
		}
		if errors.Is(err, io.EOF) && len(e.buf) > 0 {
			return ev, errPartialEvent
		}
		if err != nil {
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, idFieldPrefix); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			ev.raw = e.buf
			return ev, nil
		}
		if len(e.buf) > maxEventBytes {
			return ev, errEventTooLong
		}
	}
}

// forwardStream forwards events until the stream ends, breaks or is abandoned.
func (f *forwarder) forwardStream(resp *http.Response, events *eventReader) attemptOutcome {
	err := f.x.forwardEvents(resp, events, f.noteProgress, func(ev *event) {
		f.recordEvent(ev)
		f.x.dropHedge(outcomeSuperseded)
	})
	if errors.Is(err, errCallerNotReading) {
		f.conn.Close()
		return outcomeCallerGone
	}
	if err != nil {
		f.conn.Close()
		return f.brokenOutcome(err)
	}
	f.x.learnAnswerLength()
	f.x.learnSlotTime()
	f.returnConn(resp)
	return outcomeDone
}

// checkSignature rejects an answer that is not signed, or is encoded and can't be split into events.
func (x *exchange) checkSignature(resp *http.Response) error {
	if resp.Header.Get(x.s.Headers.Signature) == "" || resp.Header.Get("Content-Encoding") != "" {
		return errNoSignature
	}
	return nil
}

// forwardEvents forwards events until the stream ends or breaks. It calls skipped for each event that was forwarded before, and forwarded
// for any other one once the caller has it.
func (x *exchange) forwardEvents(resp *http.Response, events *eventReader, skipped func(), forwarded func(ev *event)) error {
	if err := x.checkSignature(resp); err != nil {
		return err
	}
	for {
		ev, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && x.lastEventID == "":
			return errNoEvents
		case errors.Is(err, io.EOF):
			x.writeStreamHead(resp)
			return nil
		case err != nil:
			return err
		}
		skip, err := x.checkEventOrder(&ev)
		if err != nil {
			return err
		}
		if skip {
			skipped()
			continue
		}
		if err := x.writeEvent(resp, &ev); err != nil {
			return err
		}
		forwarded(&ev)
	}
}

// writeEvent sends an event to the caller, after the head of the stream.
func (x *exchange) writeEvent(resp *http.Response, ev *event) error {
	x.writeStreamHead(resp)
	if _, err := x.w.Write(ev.raw); err != nil {
		return errCallerNotReading
	}
	if err := x.flush(); err != nil {
		return errCallerNotReading
	}
	return nil
}

// writeStreamHead sends the head of a stream to the caller once.
func (x *exchange) writeStreamHead(resp *http.Response) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.enter(phaseAnswering)
	x.copyHeader(resp.Header)
	x.status = resp.StatusCode
	x.w.WriteHeader(resp.StatusCode)
}

func (x *exchange) flush() error {
	return http.NewResponseController(x.w).Flush()
}

// checkEventOrder reports whether ev was forwarded before; an event whose id skips numbers is an error.
func (x *exchange) checkEventOrder(ev *event) (skip bool, err error) {
	lastNumber, hasLast := eventNumber(x.lastEventID)
	number, hasNumber := eventNumber(ev.id)
	switch {
	case !hasLast || !hasNumber:
		return false, nil
	case number > lastNumber+1:
		return false, errMissingEvents
	}
	return number <= lastNumber, nil
}

// eventNumber parses the id of an event; events with other ids are forwarded unchecked.
func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// recordEvent accounts for an event that was forwarded to the caller.
func (f *forwarder) recordEvent(ev *event) {
	x, s := f.x, f.x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	tooLate := f.learnProgress(now)
	x.clearPendingLocked(f.state)
	f.state.noteIteration(now, tooLate)
	f.streaming = true
	if f.eventCount == 0 {
		x.noteAnswerBegun(now)
	}
	if x.eventCount == 0 {
		x.firstEventAfter = now.Sub(x.arrivedAt)
		f.state.noteProgress(now)
		x.lastEventAt = now
		x.learnDispatchDelay()
	} else {
		f.state.noteEvent(now, now.Sub(f.waitingSince))
	}
	x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	x.lastEventAt = now
	f.waitingSince = now
	s.noteContact(f.target.service, now)
	f.eventCount++
	x.eventCount++
	if ev.id != "" {
		x.lastEventID = ev.id
	}
}
