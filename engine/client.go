package engine

// The client must be certain about two things: whether a request can have
// reached the engine, and whether an answer is whole.
//
// A connection that could not be opened is the only failure after which a
// request was surely never sent (NeverSent). net/http resends by itself when a
// kept connection breaks and the request looks replayable; a body without
// GetBody on a POST without an Idempotency-Key header never does, and the
// tests in client_test.go hold that against raw sockets.
//
// An answer is a stream of numbered lines that carry the request's id and
// epoch, and is whole only when its end says so with the right count.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	fast "github.com/segmentio/encoding/json"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	maxLineBytes        = 64 << 10
	maxReplyBytes = 1 << 20
	maxDrainBytes     = 4096
)

// Client speaks to any number of engines; the address is host:port.
type Client struct {
	// HTTP carries the calls; it must neither follow redirects nor retry.
	HTTP *http.Client
	// Heard takes the head of each answer to a request that was sent at a time.
	Heard func(address string, sent time.Time, status int, h http.Header)
	Now   func() time.Time
}

// NewClient returns a client that keeps connections and follows no redirects.
func NewClient(dial transport.Dial) *Client {
	return &Client{HTTP: transport.New(transport.Kept, dial), Heard: func(string, time.Time, int, http.Header) {}, Now: clock.Now}
}

// State probes the engine at address.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var s State
	err := c.call(ctx, sling.New().Get("http://"+address+PathState), &s)
	return s, err
}

// Order gives an order; OrderFenced means a newer leader exists, OrderRefused that the engine will not obey.
func (c *Client) Order(ctx context.Context, address string, o *Order) (OrderAnswer, error) {
	var a OrderAnswer
	err := c.call(ctx, sling.New().Post("http://"+address+PathOrders).BodyJSON(o), &a)
	return a, err
}

// Cancel asks the engine to stop working on a request.
func (c *Client) Cancel(ctx context.Context, address string, id ident.Request) error {
	var ignored struct{}
	return c.call(ctx, sling.New().Post("http://"+address+PathCancel).BodyJSON(map[string]ident.Request{"request": id}), &ignored)
}

// Events returns the cache events from sequence number first on.
func (c *Client) Events(ctx context.Context, address string, first uint64) (CacheEvents, error) {
	var e CacheEvents
	query := struct {
		First uint64 `url:"first"`
	}{first}
	err := c.call(ctx, sling.New().Get("http://"+address+PathEvents).QueryStruct(query), &e)
	return e, err
}

func (c *Client) call(ctx context.Context, s *sling.Sling, reply any) error {
	r, err := s.Request()
	if err != nil {
		return result.Wrap(err, result.BadRequest, "call cannot be built")
	}
	w, err := c.HTTP.Do(r.WithContext(ctx))
	if err != nil {
		return transport.Classify(err)
	}
	defer w.Body.Close()
	body, err := io.ReadAll(io.LimitReader(w.Body, maxReplyBytes))
	if err != nil {
		return transport.Classify(err)
	}
	if w.StatusCode != http.StatusOK {
		return refusalError(w, body)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return result.Wrap(err, result.UpstreamMalformed, "engine's answer cannot be read")
	}
	return nil
}

// StatusFenced is the status with which an engine refuses the order of an older leader.
const StatusFenced = http.StatusPreconditionFailed

// refusalError returns what an engine's refusal means, with the time that it asks for.
func refusalError(w *http.Response, body []byte) error {
	err := parseRefusal(w.StatusCode, body)
	if !backoff.IsRefusal(w.StatusCode) {
		return err
	}
	delay, parseErr := backoff.ParseRetryAfter(w.Header, time.Now())
	switch {
	case parseErr != nil:
		return result.Wrap(err, result.CodeOf(err), "%s", result.Message(parseErr))
	case delay > 0:
		return backoff.NewRefusal(err, delay)
	}
	return err
}

func parseRefusal(status int, body []byte) error {
	var refusal Refusal
	if json.Unmarshal(body, &refusal) != nil {
		return result.New(result.UpstreamMalformed, "engine answered with status %d", status)
	}
	switch {
	case status == StatusFenced:
		return result.New(result.OrderFenced, "%s", refusal.Reason)
	case refusal.Epoch && refusal.NotRun:
		return result.New(result.EpochMismatch, "%s", refusal.Reason)
	case refusal.NotRun:
		return result.New(result.UpstreamNotRun, "%s", refusal.Reason)
	case status == http.StatusConflict:
		return result.New(result.OrderRefused, "%s", refusal.Reason)
	}
	return result.New(result.UpstreamFailed, "status %d: %s", status, refusal.Reason)
}

// Generate sends a request once and returns its answer as a stream that the caller must close.
func (c *Client) Generate(ctx context.Context, address string, g *Generate) (*Stream, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "request cannot be encoded")
	}
	// A plain reader leaves GetBody unset, so that the transport cannot rewind and send again.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathGenerate, transport.Body(body))
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "request cannot be built")
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	sent := c.Now()
	w, err := c.HTTP.Do(r)
	if err != nil {
		return nil, transport.Classify(err)
	}
	c.Heard(address, sent, w.StatusCode, w.Header)
	if w.StatusCode != http.StatusOK {
		defer w.Body.Close()
		refusal, _ := io.ReadAll(io.LimitReader(w.Body, maxReplyBytes))
		return nil, refusalError(w, refusal)
	}
	return NewStream(w.Body, g.Request, g.Epoch, g.From), nil
}

// Stream reads the lines of one answer and checks each against the request.
type Stream struct {
	body    io.ReadCloser
	reader  *bufio.Reader
	request ident.Request
	epoch   ident.Epoch
	nextToken    int
	done    bool
}

// NewStream returns a stream over body that expects token number from first.
func NewStream(body io.ReadCloser, request ident.Request, epoch ident.Epoch, from int) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, maxLineBytes), request: request, epoch: epoch, nextToken: from}
}

// Next returns the next token; the one with Done set is the proper end, after which Next must not be called.
func (s *Stream) Next() (Token, error) {
	var t Token
	line, err := s.reader.ReadSlice('\n')
	if err != nil {
		return t, s.readError(err)
	}
	if err := fast.Unmarshal(line, &t); err != nil {
		return t, result.Wrap(err, result.UpstreamMalformed, "line after %d tokens cannot be read", s.nextToken)
	}
	if t.Request != s.request || t.Epoch != s.epoch {
		return t, result.New(result.AnswerForeign, "answer is for request %q in epoch %d", t.Request, t.Epoch)
	}
	if t.N != s.nextToken {
		return t, result.New(result.AnswerFragment, "token %d came where %d was due", t.N, s.nextToken)
	}
	if t.Done {
		s.done = true
		return t, nil
	}
	s.nextToken++
	return t, nil
}

// readError names the end of a stream that had no proper end; a last line without its newline counts as none.
func (s *Stream) readError(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return result.New(result.AnswerFragment, "answer ended after %d tokens without its end", s.nextToken)
	case errors.Is(err, bufio.ErrBufferFull):
		return result.Wrap(err, result.UpstreamMalformed, "line over %d bytes", maxLineBytes)
	}
	if code := result.CodeOf(transport.Classify(err)); code == result.TimedOut || code == result.Cancelled {
		return transport.Classify(err)
	}
	return result.Wrap(err, result.AnswerFragment, "answer broke after %d tokens", s.nextToken)
}

// Buffered reports whether more of the answer has arrived already.
func (s *Stream) Buffered() bool {
	return s.reader.Buffered() > 0
}

// Received returns the number of the next token that is due.
func (s *Stream) Received() int {
	return s.nextToken
}

// Close ends the stream; an unfinished one closes the connection, which tells the engine to stop.
func (s *Stream) Close() {
	if s.done {
		// What follows a proper end is nothing; reading it lets the connection be used again.
		_, _ = io.CopyN(io.Discard, s.body, maxDrainBytes)
	}
	s.body.Close()
}
