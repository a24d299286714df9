package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	defaultMaxTokens = 1024
	maxTokensLimit   = 1 << 20
	// bytesPerToken estimates the number of tokens of a prompt that no engine has counted yet.
	bytesPerToken = 4
)

// completionFields are the fields of a completion request that are interpreted here.
type completionFields struct {
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

// handledKeys are the keys that are not passed to the engine as options.
var handledKeys = []string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n", "best_of",
}

// ParsedCompletion is a completion request for the dispatcher, with the options that only concern the format of the response.
type ParsedCompletion struct {
	Request      dispatch.Request
	IncludeUsage bool
}

// ParseCompletion reads the body of a chat completion request (chat) or of a text completion request.
func ParseCompletion(body []byte, chat bool) (*ParsedCompletion, error) {
	var fields completionFields
	if err := decodeSingle(body, &fields); err != nil {
		return nil, err
	}
	parsed := &ParsedCompletion{IncludeUsage: fields.StreamOptions != nil && fields.StreamOptions.IncludeUsage}
	r := &parsed.Request
	model, adapter, _ := strings.Cut(fields.Model, ":")
	r.Model, r.Adapter, r.Chat, r.Streamed = ident.Model(model), adapter, chat, fields.Stream
	if model == "" || len(fields.Model) > 2*ident.MaxNameLength {
		return nil, result.New(result.BadRequest, "model: the name is missing or too long")
	}
	if err := readPrompt(&fields, r); err != nil {
		return nil, err
	}
	if err := readCounts(&fields, r); err != nil {
		return nil, err
	}
	options, err := engineOptions(body)
	if err != nil {
		return nil, err
	}
	r.Options = options
	r.Deterministic = fields.Seed != nil || fields.Temperature != nil && *fields.Temperature == 0
	return parsed, nil
}

func decodeSingle(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(v); err != nil {
		return result.Wrap(err, result.BadRequest, "body is not a valid completion request in JSON")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return result.New(result.BadRequest, "body has data after its JSON value")
	}
	return nil
}

func readPrompt(fields *completionFields, r *dispatch.Request) error {
	r.Prompt = fields.Prompt
	key := "prompt"
	if r.Chat {
		r.Prompt, key = fields.Messages, "messages"
	}
	var elements []json.RawMessage
	if isList := json.Unmarshal(r.Prompt, &elements) == nil; r.Chat && !isList || isList && len(elements) == 0 {
		return result.New(result.BadRequest, "%s: a non-empty list is required", key)
	}
	if !r.Chat && len(elements) != 1 && elements != nil {
		return result.New(result.BadRequest, "prompt: exactly one prompt per request is supported")
	}
	if len(r.Prompt) == 0 || string(r.Prompt) == "null" {
		return result.New(result.BadRequest, "%s is required", key)
	}
	r.PromptTokens = ident.Tokens(len(r.Prompt)/bytesPerToken + 1)
	if r.Chat {
		r.PromptParts = messageDigests(elements)
	}
	return nil
}

// maxDigestedMessages bounds the messages of a chat that are digested.
const maxDigestedMessages = 64

// messageDigests returns the digests of the messages of a chat, by which crashes of upstreams are counted.
func messageDigests(messages []json.RawMessage) []ident.PromptPart {
	var digests []ident.PromptPart
	for _, message := range messages[:min(len(messages), maxDigestedMessages)] {
		digests = append(digests, ident.PromptPart(strconv.FormatUint(xxhash.Sum64(message), 16)))
	}
	return digests
}

func readCounts(fields *completionFields, r *dispatch.Request) error {
	r.MaxTokens = defaultMaxTokens
	for _, n := range []*int{fields.MaxTokens, fields.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > maxTokensLimit {
			return result.New(result.BadRequest, "max_tokens: %d is not between 1 and %d", *n, maxTokensLimit)
		}
		r.MaxTokens = ident.Tokens(*n)
	}
	for _, n := range []*int{fields.N, fields.BestOf} {
		if n != nil && *n != 1 {
			return result.New(result.BadRequest, "n and best_of: only 1 is supported")
		}
	}
	return nil
}

// engineOptions returns the options that only the engine interprets. Duplicate keys are an error, because two parsers could
// pick different values.
func engineOptions(body []byte) (json.RawMessage, error) {
	if err := checkUniqueKeys(body); err != nil {
		return nil, err
	}
	options := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &options); err != nil {
		return nil, result.Wrap(err, result.BadRequest, "body is not a JSON object")
	}
	for _, key := range handledKeys {
		delete(options, key)
	}
	if len(options) == 0 {
		return nil, nil
	}
	return json.Marshal(options)
}

// checkUniqueKeys ignores case, as encoding/json does when it matches keys to fields.
func checkUniqueKeys(body []byte) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if token, err := d.Token(); err != nil || token != json.Delim('{') {
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
			return result.New(result.BadRequest, "duplicate key %s", name)
		}
		seen[name] = true
		var skip json.RawMessage
		if err := d.Decode(&skip); err != nil {
			return result.Wrap(err, result.BadRequest, "body is not a JSON object")
		}
	}
	return nil
}

func (s *Server) handleChatCompletion(w http.ResponseWriter, r *http.Request, customer ident.Customer) {
	s.serveCompletion(w, r, customer, true)
}

func (s *Server) handleTextCompletion(w http.ResponseWriter, r *http.Request, customer ident.Customer) {
	s.serveCompletion(w, r, customer, false)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, customer ident.Customer, chat bool) {
	headers, err := s.readHeaders(r)
	var parsed *ParsedCompletion
	if err == nil {
		parsed, err = s.readCompletion(w, r, &headers, chat)
	}
	if err != nil {
		s.OnRefused(customer, result.CodeOf(err))
		s.writeError(w, r, err, &headers)
		return
	}
	request := &parsed.Request
	request.ID, request.Customer = ident.NewRequest(), customer
	w.Header().Set(HeaderRequestID, string(request.ID))
	out := newCompletionWriter(w, parsed, time.Now())
	var sink dispatch.Sink
	if request.Streamed {
		sink = out.writeToken
	}
	answer, err := s.Serve(r.Context(), request, sink)
	switch {
	case err == nil:
		out.finish(answer)
	case out.started:
		out.abort(newErrorResponse(err, &headers))
	default:
		s.writeError(w, r, err, &headers)
	}
}

func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request, headers *requestHeaders, chat bool) (*ParsedCompletion, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	parsed, err := ParseCompletion(body, chat)
	if err != nil {
		return nil, err
	}
	request := &parsed.Request
	request.Class, request.Priority, request.Deadline = headers.class.Name, headers.class.Priority, headers.deadline
	request.Repeatable, request.Key = !headers.notRepeatable, headers.key
	if headers.notRepeatable && headers.key == "" {
		return nil, result.New(result.KeyRequired, "a not-repeatable request needs the header %s", HeaderKey)
	}
	request.Content = quarantine.ContentOf(r.URL.RequestURI(), body)
	if headers.notRepeatable {
		request.Digest = sha256.Sum256(append([]byte(r.URL.Path+"\n"), body...))
	}
	return parsed, nil
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
