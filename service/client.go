package service

// A call is sent once. Repeatable calls use kept-alive connections; each other
// call gets a fresh connection, on which the transport never retries (see
// package transport). The worker's reply is read completely before any of it is
// forwarded, so that a truncated reply becomes an error, never a short answer.

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/transport"
)

// Client sends calls to the workers of plain HTTP services. Set the exported fields before use.
type Client struct {
	// KeepAlive sends repeatable calls, Fresh all others.
	KeepAlive *http.Client
	Fresh     *http.Client
	// MaxReplyBytes is the largest accepted reply body in bytes.
	MaxReplyBytes int64
}

// NewClient returns a client that follows no redirects and accepts reply bodies of up to maxReply bytes.
func NewClient(dial transport.Dial, maxReply int64) *Client {
	return &Client{KeepAlive: transport.New(transport.KeepAlive, dial), Fresh: transport.New(transport.Fresh, dial), MaxReplyBytes: maxReply}
}

// hopByHopHeaders are the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without hop-by-hop headers, including those that Connection names.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// Send sends call once to the worker at address (host:port) and returns the complete reply.
func (c *Client) Send(ctx context.Context, address string, call *dispatch.Call) (*dispatch.Reply, error) {
	r, err := newRequest(ctx, address, call)
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "cannot build call")
	}
	client := c.Fresh
	if call.Repeatable {
		client = c.KeepAlive
	}
	w, err := client.Do(r)
	if err != nil {
		return nil, transport.Classify(err)
	}
	defer w.Body.Close()
	body, err := io.ReadAll(io.LimitReader(w.Body, c.MaxReplyBytes+1))
	if err != nil {
		return nil, result.Wrap(err, result.UpstreamFailed, "reply truncated after %d bytes", len(body))
	}
	if int64(len(body)) > c.MaxReplyBytes {
		return nil, result.New(result.UpstreamFailed, "reply is larger than %d bytes", c.MaxReplyBytes)
	}
	return &dispatch.Reply{Status: w.StatusCode, Header: EndToEnd(w.Header), Body: body}, nil
}

func newRequest(ctx context.Context, address string, call *dispatch.Call) (*http.Request, error) {
	url := "http://" + address + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	r, err := http.NewRequestWithContext(ctx, call.Method, url, transport.OneShotBody(call.Body))
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(call.Body))
	r.Header = EndToEnd(call.Header)
	// The API key authenticates the customer to this system only; the worker must not see it.
	r.Header.Del("Authorization")
	if r.Header.Get("User-Agent") == "" {
		r.Header.Set("User-Agent", "")
	}
	return r, nil
}
