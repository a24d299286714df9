package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/httproute"
)

const (
	// maxAnswer bounds an answer that is read whole before it is passed on.
	maxAnswer = 8 << 20
	// maxForeign is how many answers to other requests are skipped on one connection.
	maxForeign = 2
)

// answer is an upstream's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

var (
	errForeign = errors.New("answers to other requests on the connection")
	errTooLong = errors.New("answer too long")
)

// follow reads the answer and passes it on.
func (f *follower) follow() verdict {
	x := f.x
	resp, err := f.readHead()
	if err != nil {
		f.conn.Close()
		x.ran()
		return f.broken(err)
	}
	f.sign()
	if f.refusedByUpstream(resp) {
		f.keepIfWhole(resp)
		return verdictNotRun
	}
	x.endTrial(f.t.id, !backoff.TurnsAway(resp.StatusCode))
	x.ran()
	if resp.StatusCode == http.StatusOK && x.route.Kind == httproute.KindStream {
		return f.followStream(resp)
	}
	return f.followWhole(resp)
}

// ran notes that an upstream may have worked on the request.
func (x *exchange) ran() {
	x.mayHaveRun = true
	x.runs++
}

// readHead returns the head of the answer to this request; a late answer to an earlier one is skipped.
func (f *follower) readHead() (*http.Response, error) {
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(f.conn.br, f.x.r)
		if err != nil {
			return nil, err
		}
		f.heed(resp)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(f.x.s.Names.RequestID)
		if id == f.x.id || id == "" && f.ownRefusal(resp) {
			f.missLimit()
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
			return nil, err
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
	}
	return nil, errForeign
}

// ownRefusal reports whether an answer without a request's id can only be a refusal of this request.
func (f *follower) ownRefusal(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(f.x.s.Names.NotRun) != ""
}

// refusedByUpstream reports whether the upstream certainly did not run the request.
func (f *follower) refusedByUpstream(resp *http.Response) bool {
	s := f.x.s
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	if !misdirected && resp.Header.Get(s.Names.NotRun) == "" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if misdirected {
		f.state.fail(now)
		f.x.displaced = true
	}
	if blamed := resp.Header.Get(s.Names.Blamed); blamed != "" {
		f.state.blamed = blamed
		f.x.displaced = true
		f.state.fail(now)
	}
	return true
}

// keepIfWhole reads the rest of a refusal and keeps the connection.
func (f *follower) keepIfWhole(resp *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
		f.conn.Close()
		return
	}
	f.keep(resp)
}

// followWhole reads a whole answer before anything goes to the caller.
func (f *follower) followWhole(resp *http.Response) verdict {
	x := f.x
	// What an earlier try brought is passed on only if this one brings nothing better, and is then as small as a failure.
	x.releaseAnswer()
	err := x.holdAnswer(resp)
	var body []byte
	if err == nil {
		body, err = readWhole(resp)
	}
	if err != nil {
		f.conn.Close()
		return f.broken(err)
	}
	f.keep(resp)
	signed := resp.Header.Get(x.s.Names.Signature) != ""
	success := resp.StatusCode < http.StatusMultipleChoices
	if success && (!signed || resp.Header.Get("Content-Encoding") != "") {
		return verdictBroken
	}
	a := &answer{resp.StatusCode, resp.Header, body}
	if failedOnIts(resp.StatusCode) {
		x.failure = a
		return verdictFailed
	}
	if x.started {
		// The stream that this was to continue has another answer already.
		return verdictBroken
	}
	x.first = x.s.Now().Sub(x.began)
	x.writeAnswer(a)
	return verdictDone
}

// failedOnIts reports whether another upstream might do better.
func failedOnIts(status int) bool {
	return status >= http.StatusInternalServerError
}

func readWhole(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errTooLong
	}
	return body, nil
}

// writeAnswer gives the caller an upstream's answer unchanged.
func (x *exchange) writeAnswer(a *answer) {
	x.copyHead(a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.status = a.status
	x.started = true
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.tries = append(x.tries, Try{Result: "answer not delivered: " + err.Error()})
	}
}

func (x *exchange) copyHead(from http.Header) {
	h := x.w.Header()
	named := namedByConnection(from)
	for name, values := range from {
		if connectionHeaders[name] || named[name] {
			continue
		}
		h[name] = values
	}
	x.closeIfLeaving()
}
