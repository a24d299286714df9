package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	defaultMaxTokens = 1024
	limitMaxTokens   = 1 << 20
	// bytesPerToken estimates a prompt's tokens before an engine has counted them.
	bytesPerToken = 4
)

// fields are the parts of a completion request that this system itself acts on.
type fields struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Temperature *float64 `json:"temperature"`
	Seed        *int64   `json:"seed"`
	N           *int     `json:"n"`
	BestOf      *int     `json:"best_of"`
}

// handled are the keys that do not go on to the engine as options.
var handled = []string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n", "best_of",
}

// Parsed is a completion request as the dispatcher takes it, and how to write its answer.
type Parsed struct {
	Request      dispatch.Request
	IncludeUsage bool
}

// Parse reads the body of a completion request; chat says which of the two interfaces it came by.
func Parse(body []byte, chat bool) (*Parsed, error) {
	var f fields
	if err := decodeOne(body, &f); err != nil {
		return nil, err
	}
	p := &Parsed{IncludeUsage: f.StreamOptions != nil && f.StreamOptions.IncludeUsage}
	r := &p.Request
	model, adapter, _ := strings.Cut(f.Model, ":")
	r.Model, r.Adapter, r.Chat, r.Streamed = ident.Model(model), adapter, chat, f.Stream
	if model == "" || len(f.Model) > 2*ident.MaxNameLength {
		return nil, result.New(result.BadRequest, "model: a name is required")
	}
	if err := readPrompt(&f, r); err != nil {
		return nil, err
	}
	if err := readNumbers(&f, r); err != nil {
		return nil, err
	}
	options, err := remaining(body)
	if err != nil {
		return nil, err
	}
	r.Options = options
	r.Deterministic = f.Seed != nil || f.Temperature != nil && *f.Temperature == 0
	return p, nil
}

func decodeOne(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(v); err != nil {
		return result.Wrap(err, result.BadRequest, "body is not the JSON of a completion request")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return result.New(result.BadRequest, "body goes on after its JSON value")
	}
	return nil
}

func readPrompt(f *fields, r *dispatch.Request) error {
	r.Prompt = f.Prompt
	key := "prompt"
	if r.Chat {
		r.Prompt, key = f.Messages, "messages"
	}
	var list []json.RawMessage
	if isList := json.Unmarshal(r.Prompt, &list) == nil; r.Chat && !isList || isList && len(list) == 0 {
		return result.New(result.BadRequest, "%s: a list with at least one element is required", key)
	}
	if !r.Chat && len(list) != 1 && list != nil {
		return result.New(result.BadRequest, "prompt: one prompt a request is served")
	}
	if len(r.Prompt) == 0 || string(r.Prompt) == "null" {
		return result.New(result.BadRequest, "%s is required", key)
	}
	r.PromptTokens = ident.Tokens(len(r.Prompt)/bytesPerToken + 1)
	return nil
}

func readNumbers(f *fields, r *dispatch.Request) error {
	r.MaxTokens = defaultMaxTokens
	for _, n := range []*int{f.MaxTokens, f.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > limitMaxTokens {
			return result.New(result.BadRequest, "max_tokens: %d is not between 1 and %d", *n, limitMaxTokens)
		}
		r.MaxTokens = ident.Tokens(*n)
	}
	for _, n := range []*int{f.N, f.BestOf} {
		if n != nil && *n != 1 {
			return result.New(result.BadRequest, "n and best_of: one answer a request is served")
		}
	}
	return nil
}

// remaining returns the options that only the engine understands; a key that stands twice is refused, because
// two readers could take different ones.
func remaining(body []byte) (json.RawMessage, error) {
	if err := uniqueKeys(body); err != nil {
		return nil, err
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, result.Wrap(err, result.BadRequest, "body is not a JSON object")
	}
	for _, key := range handled {
		delete(all, key)
	}
	if len(all) == 0 {
		return nil, nil
	}
	return json.Marshal(all)
}

func uniqueKeys(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return result.New(result.BadRequest, "body is not a JSON object")
	}
	seen := map[string]bool{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return result.Wrap(err, result.BadRequest, "body is not a JSON object")
		}
		name := strings.ToLower(key.(string))
		if seen[name] {
			return result.New(result.BadRequest, "%s stands twice", name)
		}
		seen[name] = true
		var skip json.RawMessage
		if err := d.Decode(&skip); err != nil {
			return result.Wrap(err, result.BadRequest, "body is not a JSON object")
		}
	}
	return nil
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request, customer ident.Customer) {
	s.complete(w, r, customer, true)
}

func (s *Server) handleText(w http.ResponseWriter, r *http.Request, customer ident.Customer) {
	s.complete(w, r, customer, false)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request, customer ident.Customer, chat bool) {
	e, err := s.envelope(r)
	var p *Parsed
	if err == nil {
		p, err = s.parse(w, r, &e, chat)
	}
	if err != nil {
		s.Refused(customer, result.CodeOf(err))
		s.fail(w, r, err, &e)
		return
	}
	req := &p.Request
	req.ID, req.Customer = ident.NewRequest(), customer
	w.Header().Set(HeaderRequest, string(req.ID))
	out := newWriter(w, p, time.Now())
	var sink dispatch.Sink
	if req.Streamed {
		sink = out.token
	}
	answer, err := s.Serve(r.Context(), req, sink)
	switch {
	case err == nil:
		out.end(answer)
	case out.started:
		out.abort(described(err, &e))
	default:
		s.fail(w, r, err, &e)
	}
}

func (s *Server) parse(w http.ResponseWriter, r *http.Request, e *envelope, chat bool) (*Parsed, error) {
	body, err := s.body(w, r)
	if err != nil {
		return nil, err
	}
	p, err := Parse(body, chat)
	if err != nil {
		return nil, err
	}
	req := &p.Request
	req.Class, req.Priority, req.Deadline = e.class.Name, e.class.Priority, e.deadline
	req.Repeatable, req.Key = !e.notRepeatable, e.key
	if e.notRepeatable && e.key == "" {
		return nil, result.New(result.KeyRequired, "a not-repeatable request needs the header %s", HeaderKey)
	}
	req.Content = quarantine.ContentOf(r.URL.RequestURI(), body)
	if e.notRepeatable {
		req.Digest = sha256.Sum256(append([]byte(r.URL.Path+"\n"), body...))
	}
	return p, nil
}

func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request, _ ident.Customer) {
	type model struct {
		ID      ident.Model `json:"id"`
		Object  string      `json:"object"`
		Created int64       `json:"created"`
		OwnedBy string      `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range s.Models() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "dunlinquay"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
