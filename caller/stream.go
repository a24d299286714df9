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

// completionWriter writes an answer in the JSON of the OpenAI interface, complete or as server-sent events.
type completionWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	parsed     *ParsedCompletion
	created    int64
	started    bool
	// tokenPrefix and tokenSuffix surround the JSON string of one token; they are the same for every event of a stream.
	tokenPrefix, tokenSuffix []byte
	eventBuffer              []byte
	deadlineSetAt            time.Time
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

func newCompletionWriter(w http.ResponseWriter, parsed *ParsedCompletion, now time.Time) *completionWriter {
	return &completionWriter{w: w, controller: http.NewResponseController(w), parsed: parsed, created: now.Unix()}
}

func (out *completionWriter) newCompletion(object string, choices ...choice) completion {
	model := string(out.parsed.Request.Model)
	if out.parsed.Request.Adapter != "" {
		model += ":" + out.parsed.Request.Adapter
	}
	prefix := "cmpl-"
	if out.parsed.Request.Chat {
		prefix = "chatcmpl-"
	}
	return completion{ID: prefix + string(out.parsed.Request.ID), Object: object, Created: out.created, Model: model, Choices: choices}
}

func (out *completionWriter) chunkObjectType() string {
	if out.parsed.Request.Chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// startStream writes the headers of a stream, and for a chat the event with the role.
func (out *completionWriter) startStream() error {
	out.started = true
	h := out.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	out.w.WriteHeader(http.StatusOK)
	out.prepareTokenEvent()
	if !out.parsed.Request.Chat {
		return nil
	}
	empty := ""
	return out.writeEvent(out.newCompletion(out.chunkObjectType(), choice{Delta: &message{Role: "assistant", Content: &empty}}))
}

const deadlineExtendInterval = time.Second

// textPlaceholder is the text of the event that prepareTokenEvent splits into tokenPrefix and tokenSuffix.
const textPlaceholder = "\x01"

// prepareTokenEvent encodes one event and splits it at the token's text, so that later events encode only a string.
func (out *completionWriter) prepareTokenEvent() {
	text := textPlaceholder
	c := choice{Text: &text}
	if out.parsed.Request.Chat {
		c = choice{Delta: &message{Content: &text}}
	}
	encoded, err := json.Marshal(out.newCompletion(out.chunkObjectType(), c))
	if err != nil {
		return
	}
	quotedPlaceholder, _ := json.Marshal(textPlaceholder)
	prefix, suffix, _ := bytes.Cut(encoded, quotedPlaceholder)
	out.tokenPrefix = append([]byte("data: "), prefix...)
	out.tokenSuffix = slices.Concat(suffix, []byte("\n\n"))
}

// writeToken is the dispatch.Sink of a streamed answer. It flushes once no further token is buffered.
func (out *completionWriter) writeToken(text string, moreBuffered bool) error {
	out.extendDeadline()
	if !out.started {
		if err := out.startStream(); err != nil {
			return err
		}
	}
	event, err := fast.Append(append(out.eventBuffer[:0], out.tokenPrefix...), text, 0)
	if err != nil {
		return err
	}
	event = append(event, out.tokenSuffix...)
	out.eventBuffer = event
	if _, err := out.w.Write(out.eventBuffer); err != nil {
		return err
	}
	if moreBuffered {
		return nil
	}
	return out.controller.Flush()
}

// extendDeadline extends the write deadline at most once per deadlineExtendInterval: setting the deadline for every token
// would cost more than writing the token.
func (out *completionWriter) extendDeadline() {
	now := time.Now()
	if now.Sub(out.deadlineSetAt) < deadlineExtendInterval {
		return
	}
	out.deadlineSetAt = now
	_ = out.controller.SetWriteDeadline(now.Add(writeTimeout))
}

func (out *completionWriter) writeEvent(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = out.w.Write(append(append([]byte("data: "), b...), "\n\n"...))
	return err
}

// finish writes the last events of a stream, or the complete response of an answer that is not streamed.
func (out *completionWriter) finish(answer *dispatch.Answer) {
	u := &usage{PromptTokens: answer.PromptTokens, CompletionTokens: answer.Tokens, TotalTokens: answer.PromptTokens + answer.Tokens}
	if !out.parsed.Request.Streamed {
		out.writeWhole(answer, u)
		return
	}
	if !out.started && out.startStream() != nil {
		return
	}
	last := choice{FinishReason: &answer.Finish}
	empty := ""
	if out.parsed.Request.Chat {
		last.Delta = &message{}
	} else {
		last.Text = &empty
	}
	_ = out.writeEvent(out.newCompletion(out.chunkObjectType(), last))
	if out.parsed.IncludeUsage {
		v := out.newCompletion(out.chunkObjectType())
		v.Choices, v.Usage = []choice{}, u
		_ = out.writeEvent(v)
	}
	_, _ = out.w.Write([]byte("data: [DONE]\n\n"))
	_ = out.controller.Flush()
}

func (out *completionWriter) writeWhole(answer *dispatch.Answer, u *usage) {
	c := choice{Text: &answer.Text, FinishReason: &answer.Finish}
	object := "text_completion"
	if out.parsed.Request.Chat {
		c = choice{Message: &message{Role: "assistant", Content: &answer.Text}, FinishReason: &answer.Finish}
		object = "chat.completion"
	}
	v := out.newCompletion(object, c)
	v.Usage = u
	out.w.Header().Set("Content-Type", "application/json")
	out.extendDeadline()
	_ = json.NewEncoder(out.w).Encode(v)
}

// abort sends the error as an event and breaks the connection, so that no client takes the stream for complete.
func (out *completionWriter) abort(response errorResponse) {
	_ = out.writeEvent(response)
	_ = out.controller.Flush()
	panic(http.ErrAbortHandler)
}
