package engine

// The client must determine reliably whether a request can have reached the
// engine, and whether an answer is complete.
//
// Only a failure to open the connection proves that a request was never sent
// (NeverSent). http.Transport resends a request when a kept-alive connection
// breaks and the request looks replayable; it never resends a POST whose body
// has no GetBody and that has no Idempotency-Key header. The tests in
// client_test.go check this with raw sockets.
//
// An answer is a stream of numbered lines, each with the request's ID and
// epoch. The answer is complete only if it has a final line with the correct
// token count.

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
	maxLineBytes  = 64 << 10
	maxReplyBytes = 1 << 20
	maxDrainBytes = 4096
)

// Client calls any number of engines; the address of a call is host:port.
type Client struct {
	// HTTP must neither follow redirects nor retry.
	HTTP *http.Client
	// OnResponse is called with the status and headers of each answer to Generate, and the time at which the request was sent.
	OnResponse func(address string, sent time.Time, status int, h http.Header)
	// Now is the clock for the send times of requests.
	Now func() time.Time
}

// NewClient returns a client that keeps connections alive and follows no redirects.
func NewClient(dial transport.Dial) *Client {
	return &Client{HTTP: transport.New(transport.KeepAlive, dial), OnResponse: func(string, time.Time, int, http.Header) {}, Now: clock.Now}
}

// State requests the current state of the engine at address.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var s State
	err := c.call(ctx, sling.New().Get("http://"+address+PathState), &s)
	return s, err
}

// Order sends an order. OrderFenced means that the engine has seen an order of a newer leader, OrderRefused that the engine
// does not carry out the order.
func (c *Client) Order(ctx context.Context, address string, o *Order) (OrderAnswer, error) {
	var a OrderAnswer
	err := c.call(ctx, sling.New().Post("http://"+address+PathOrders).BodyJSON(o), &a)
	return a, err
}

// Cancel stops the processing of a request on the engine.
func (c *Client) Cancel(ctx context.Context, address string, id ident.Request) error {
	var ignored struct{}
	return c.call(ctx, sling.New().Post("http://"+address+PathCancel).BodyJSON(map[string]ident.Request{"request": id}), &ignored)
}

// Events returns the cache events from sequence number first onwards.
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
		return result.Wrap(err, result.BadRequest, "cannot build engine call")
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
		return result.Wrap(err, result.UpstreamMalformed, "cannot decode the engine's answer")
	}
	return nil
}

// StatusFenced is the HTTP status with which an engine refuses an order of an older leader.
const StatusFenced = http.StatusPreconditionFailed

// refusalError converts an engine's refusal to an error, with the backoff that a Retry-After header requests.
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
	case refusal.WrongEpoch && refusal.NotRun:
		return result.New(result.EpochMismatch, "%s", refusal.Reason)
	case refusal.NotRun:
		return result.New(result.UpstreamNotRun, "%s", refusal.Reason)
	case status == http.StatusConflict:
		return result.New(result.OrderRefused, "%s", refusal.Reason)
	}
	return result.New(result.UpstreamFailed, "status %d: %s", status, refusal.Reason)
}

// Generate sends a request once and returns the answer as a stream, which the caller must close.
func (c *Client) Generate(ctx context.Context, address string, g *GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "cannot encode generate request")
	}
	// A plain reader leaves GetBody unset, so the transport cannot rewind the body and resend the request.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathGenerate, transport.OneShotBody(body))
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "cannot build generate request")
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	sent := c.Now()
	w, err := c.HTTP.Do(r)
	if err != nil {
		return nil, transport.Classify(err)
	}
	c.OnResponse(address, sent, w.StatusCode, w.Header)
	if w.StatusCode != http.StatusOK {
		defer w.Body.Close()
		refusal, _ := io.ReadAll(io.LimitReader(w.Body, maxReplyBytes))
		return nil, refusalError(w, refusal)
	}
	return NewStream(w.Body, g.Request, g.Epoch, g.From), nil
}

// Stream reads the lines of one answer and checks that each belongs to the request and is the next in order.
type Stream struct {
	body      io.ReadCloser
	reader    *bufio.Reader
	request   ident.Request
	epoch     ident.Epoch
	nextToken int
	done      bool
}

// NewStream returns a stream over body whose first token must have number from.
func NewStream(body io.ReadCloser, request ident.Request, epoch ident.Epoch, from int) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, maxLineBytes), request: request, epoch: epoch, nextToken: from}
}

// Next returns the next token. A token with Done set is the final line of a complete answer; Next must not be called after it.
func (s *Stream) Next() (Token, error) {
	var t Token
	line, err := s.reader.ReadSlice('\n')
	if err != nil {
		return t, s.readError(err)
	}
	if err := fast.Unmarshal(line, &t); err != nil {
		return t, result.Wrap(err, result.UpstreamMalformed, "cannot decode the line after %d tokens", s.nextToken)
	}
	if t.Request != s.request || t.Epoch != s.epoch {
		return t, result.New(result.AnswerForeign, "answer belongs to request %q in epoch %d", t.Request, t.Epoch)
	}
	if t.N != s.nextToken {
		return t, result.New(result.AnswerFragment, "received token %d, expected token %d", t.N, s.nextToken)
	}
	if t.Done {
		s.done = true
		return t, nil
	}
	s.nextToken++
	return t, nil
}

// readError converts the error that ended a stream before its final line; a final line without newline counts as missing.
func (s *Stream) readError(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return result.New(result.AnswerFragment, "answer ended after %d tokens without a final line", s.nextToken)
	case errors.Is(err, bufio.ErrBufferFull):
		return result.Wrap(err, result.UpstreamMalformed, "line longer than %d bytes", maxLineBytes)
	}
	if code := result.CodeOf(transport.Classify(err)); code == result.TimedOut || code == result.Cancelled {
		return transport.Classify(err)
	}
	return result.Wrap(err, result.AnswerFragment, "connection failed after %d tokens of the answer", s.nextToken)
}

// Buffered reports whether further bytes of the answer have been read from the connection.
func (s *Stream) Buffered() bool {
	return s.reader.Buffered() > 0
}

// Received returns the number of the next expected token; tokens before it have been received or skipped by From.
func (s *Stream) Received() int {
	return s.nextToken
}

// Close ends the stream. If the answer is incomplete, Close closes the connection, on which the engine stops.
func (s *Stream) Close() {
	if s.done {
		// Reading up to the end of the body makes the connection reusable.
		_, _ = io.CopyN(io.Discard, s.body, maxDrainBytes)
	}
	s.body.Close()
}
