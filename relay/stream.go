package relay

// A stream is passed on event by event: an event that did not arrive whole is
// not passed on, and one that was passed on before is not passed on again. A
// stream that breaks off is continued at another upstream after the last
// event, within the same answer:
//
//	upstream 1:  id 1, id 2, (breaks off)
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

// maxEvent bounds one event.
const maxEvent = 1 << 20

var (
	errPartEvent = errors.New("the stream ends within an event")
	errLongEvent = errors.New("an event is too long")
	errEmpty     = errors.New("the stream has no event")
	errGap       = errors.New("events are missing")
	errUnsigned  = errors.New("the answer has no signature")
	errCaller    = errors.New("the caller does not read")
)

var idField = []byte("id:")

// event is one event as it stands in the stream.
type event struct {
	raw []byte
	id  string
}

// eventReader cuts a stream into events.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
}

// next returns the next whole event; io.EOF means that the stream ended between two events.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	ev := event{}
	for {
		line, err := e.br.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.buf) > maxEvent {
				return ev, errLongEvent
			}
			continue
		}
		if errors.Is(err, io.EOF) && len(e.buf) > 0 {
			return ev, errPartEvent
		}
		if err != nil {
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, idField); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			ev.raw = e.buf
			return ev, nil
		}
		if len(e.buf) > maxEvent {
			return ev, errLongEvent
		}
	}
}

// followStream passes events on until the stream ends, breaks off or is given up.
func (f *follower) followStream(resp *http.Response) verdict {
	err := f.startStream(resp)
	if err == nil {
		err = f.passEvents(resp)
	}
	if errors.Is(err, errCaller) {
		f.conn.Close()
		return verdictGone
	}
	if err != nil {
		f.conn.Close()
		return f.broken(err)
	}
	f.keep(resp)
	return verdictDone
}

// startStream gives the caller the head of the first upstream's answer; a stream that is continued keeps it.
func (f *follower) startStream(resp *http.Response) error {
	if resp.Header.Get(f.x.s.Names.Signature) == "" || resp.Header.Get("Content-Encoding") != "" {
		return errUnsigned
	}
	return nil
}

func (f *follower) passEvents(resp *http.Response) error {
	x := f.x
	events := &eventReader{br: bufio.NewReaderSize(resp.Body, readBuffer)}
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) && x.lastEvent == "" {
			return errEmpty
		}
		if errors.Is(err, io.EOF) {
			f.startOnce(resp)
			return nil
		}
		if err != nil {
			return err
		}
		skip, err := x.check(&ev)
		if err != nil {
			return err
		}
		if skip {
			f.sign()
			continue
		}
		f.startOnce(resp)
		if _, err := x.w.Write(ev.raw); err != nil {
			return errCaller
		}
		if err := x.flush(); err != nil {
			return errCaller
		}
		f.event(&ev)
	}
}

func (f *follower) startOnce(resp *http.Response) {
	x := f.x
	if x.started {
		return
	}
	x.started = true
	x.copyHead(resp.Header)
	x.status = resp.StatusCode
	x.w.WriteHeader(resp.StatusCode)
}

func (x *exchange) flush() error {
	return http.NewResponseController(x.w).Flush()
}

// check reports whether ev was passed on before; an event that leaves others out is an error.
func (x *exchange) check(ev *event) (skip bool, err error) {
	last, known := eventNumber(x.lastEvent)
	now, numbered := eventNumber(ev.id)
	switch {
	case !known || !numbered:
		return false, nil
	case now > last+1:
		return false, errGap
	}
	return now <= last, nil
}

// eventNumber reads the id of an event; ids that are not numbers are passed on unchecked.
func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// event notes that ev went to the caller.
func (f *follower) event(ev *event) {
	x, s := f.x, f.x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	tooLong := f.learnSign(now)
	x.readAt(f.state)
	f.state.pass(now, tooLong)
	f.running = true
	if x.events == 0 {
		x.first = now.Sub(x.began)
		f.state.sign(now)
		x.lastAt = now
		x.learnLaunch()
	} else {
		f.state.event(now, now.Sub(f.waited))
	}
	x.gap = max(x.gap, now.Sub(x.lastAt))
	x.lastAt = now
	f.waited = now
	f.events++
	x.events++
	if ev.id != "" {
		x.lastEvent = ev.id
	}
}
