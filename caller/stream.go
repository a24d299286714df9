package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	fast "github.com/segmentio/encoding/json"

	"github.com/dunlinquay/dunlinquay/dispatch"
)

// writer turns an answer into the interface's JSON, whole or as server-sent events.
type writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	p       *Parsed
	created int64
	started bool
	// head and tail surround the JSON string of one token; they are the same for every event of a stream.
	head, tail []byte
	line       []byte
	// extended is when the write deadline was set last.
	extended time.Time
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	LogProbs     *string  `json:"logprobs"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newWriter(w http.ResponseWriter, p *Parsed, now time.Time) *writer {
	return &writer{w: w, control: http.NewResponseController(w), p: p, created: now.Unix()}
}

func (out *writer) envelope(object string, choices ...choice) completion {
	model := string(out.p.Request.Model)
	if out.p.Request.Adapter != "" {
		model += ":" + out.p.Request.Adapter
	}
	prefix := "cmpl-"
	if out.p.Request.Chat {
		prefix = "chatcmpl-"
	}
	return completion{ID: prefix + string(out.p.Request.ID), Object: object, Created: out.created, Model: model, Choices: choices}
}

func (out *writer) chunkObject() string {
	if out.p.Request.Chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// start writes the headers of a stream, and for a chat the event that names the role.
func (out *writer) start() error {
	out.started = true
	h := out.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	out.w.WriteHeader(http.StatusOK)
	out.prepare()
	if !out.p.Request.Chat {
		return nil
	}
	empty := ""
	return out.event(out.envelope(out.chunkObject(), choice{Delta: &message{Role: "assistant", Content: &empty}}))
}

// extendEvery is how often the write deadline of a stream is moved.
const extendEvery = time.Second

// mark stands for the token's text while head and tail are cut from a whole event.
const mark = "\x01"

// prepare encodes one event and cuts it where the text of a token belongs, so that a token costs one string and no structure.
func (out *writer) prepare() {
	text := mark
	c := choice{Text: &text}
	if out.p.Request.Chat {
		c = choice{Delta: &message{Content: &text}}
	}
	whole, err := json.Marshal(out.envelope(out.chunkObject(), c))
	if err != nil {
		return
	}
	quoted, _ := json.Marshal(mark)
	head, tail, _ := bytes.Cut(whole, quoted)
	out.head = append([]byte("data: "), head...)
	out.tail = slices.Concat(tail, []byte("\n\n"))
}

// token is the sink of a streamed answer; more says that the next token has arrived already.
func (out *writer) token(text string, more bool) error {
	out.extendDeadline()
	if !out.started {
		if err := out.start(); err != nil {
			return err
		}
	}
	line, err := fast.Append(append(out.line[:0], out.head...), text, 0)
	if err != nil {
		return err
	}
	line = append(line, out.tail...)
	out.line = line
	if _, err := out.w.Write(out.line); err != nil {
		return err
	}
	if more {
		return nil
	}
	return out.control.Flush()
}

// extendDeadline gives a caller that reads more time; setting it for every token would cost more than the token.
func (out *writer) extendDeadline() {
	now := time.Now()
	if now.Sub(out.extended) < extendEvery {
		return
	}
	out.extended = now
	_ = out.control.SetWriteDeadline(now.Add(writeTimeout))
}

func (out *writer) event(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = out.w.Write(append(append([]byte("data: "), b...), "\n\n"...))
	return err
}

// end writes the proper end of a stream, or the whole of an answer that was not streamed.
func (out *writer) end(a *dispatch.Answer) {
	u := &usage{PromptTokens: a.PromptTokens, CompletionTokens: a.Tokens, TotalTokens: a.PromptTokens + a.Tokens}
	if !out.p.Request.Streamed {
		out.whole(a, u)
		return
	}
	if !out.started && out.start() != nil {
		return
	}
	last := choice{FinishReason: &a.Finish}
	empty := ""
	if out.p.Request.Chat {
		last.Delta = &message{}
	} else {
		last.Text = &empty
	}
	_ = out.event(out.envelope(out.chunkObject(), last))
	if out.p.IncludeUsage {
		v := out.envelope(out.chunkObject())
		v.Choices, v.Usage = []choice{}, u
		_ = out.event(v)
	}
	_, _ = out.w.Write([]byte("data: [DONE]\n\n"))
	_ = out.control.Flush()
}

func (out *writer) whole(a *dispatch.Answer, u *usage) {
	c := choice{Text: &a.Text, FinishReason: &a.Finish}
	object := "text_completion"
	if out.p.Request.Chat {
		c = choice{Message: &message{Role: "assistant", Content: &a.Text}, FinishReason: &a.Finish}
		object = "chat.completion"
	}
	v := out.envelope(object, c)
	v.Usage = u
	out.w.Header().Set("Content-Type", "application/json")
	out.extendDeadline()
	_ = json.NewEncoder(out.w).Encode(v)
}

// abort tells the caller what went wrong and breaks the connection, so that no client takes the stream for ended.
func (out *writer) abort(a errorAnswer) {
	_ = out.event(a)
	_ = out.control.Flush()
	panic(http.ErrAbortHandler)
}
