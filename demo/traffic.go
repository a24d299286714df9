package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/caller"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
)

// counts is what became of the demo's requests.
type counts struct {
	Requests int
	Whole    int
	Wrong    int
	NotRun   int
	Failed   int
	Doubled  int
}

// traffic sends requests like callers behind a balancer and judges every answer.
type traffic struct {
	site *site
	http *http.Client

	mu     sync.Mutex
	counts counts
	broken []string
	kept   []string // bodies of not-repeatable requests
	number int
	wg     sync.WaitGroup
}

const (
	workers     = 6
	answerSize  = 24
	requestTime = 8 * time.Second
	pause       = 20 * time.Millisecond
	resends     = 12
)

func newTraffic(s *site) *traffic {
	return &traffic{site: s, http: &http.Client{Timeout: 2 * requestTime}}
}

// start sends requests until ctx ends; wait returns when the last one is answered.
func (t *traffic) start(ctx context.Context) {
	for range workers {
		t.wg.Go(func() {
			for ctx.Err() == nil {
				n := t.next()
				switch n % 4 {
				case 0:
					t.completion(t.site.choose(n), n, false)
				case 1, 2:
					t.completion(t.site.choose(n), n, true)
				default:
					t.charge(n)
				}
				time.Sleep(pause)
			}
		})
	}
}

func (t *traffic) wait() { t.wg.Wait() }

func (t *traffic) next() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	t.counts.Requests++
	return t.number
}

func (t *traffic) count(fn func(c *counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fn(&t.counts)
}

func (t *traffic) breachf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, fmt.Sprintf(format, args...))
}

func (t *traffic) request(h *host, path string, body []byte, header map[string]string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, h.callers()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	customer := ident.Customer("snow")
	if len(body)%2 == 0 {
		customer = "roads"
	}
	r.Header.Set("Authorization", "Bearer "+t.site.keys[customer])
	r.Header.Set(caller.HeaderDeadline, requestTime.String())
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return t.http.Do(r)
}

// completion asks a model and compares the answer, token for token, with what the prompt must give.
func (t *traffic) completion(h *host, n int, stream bool) {
	model := []string{"alpine", "savanna"}[n%2]
	prompt, _ := json.Marshal(fmt.Sprintf("request number %d", n))
	body, _ := json.Marshal(map[string]any{
		"model": model, "prompt": json.RawMessage(prompt), "max_tokens": answerSize, "stream": stream, "temperature": 0,
	})
	w, err := t.request(h, "/v1/completions", body, nil)
	if err != nil {
		t.count(func(c *counts) { c.Failed++ })
		return
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		t.refused(w, string(prompt))
		return
	}
	text, err := readAnswer(w.Body, stream)
	switch {
	case err != nil:
		// The caller was told: a stream without its end, or an error event.
		t.count(func(c *counts) { c.Failed++ })
	case text == engine.ExpectedText(prompt, answerSize):
		t.count(func(c *counts) { c.Whole++ })
	default:
		t.count(func(c *counts) { c.Wrong++ })
		t.breachf("request %d was answered wrongly: %q", n, text)
	}
}

// refused checks that a request which is called not run did not run.
func (t *traffic) refused(w *http.Response, prompt string) {
	if w.Header.Get(caller.HeaderNotRun) != "true" {
		t.count(func(c *counts) { c.Failed++ })
		return
	}
	t.count(func(c *counts) { c.NotRun++ })
	if runs := t.site.runsOf(prompt); runs > 0 {
		t.breachf("request %s was called not run and ran %d times", prompt, runs)
	}
}

type answer struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

func readAnswer(r io.Reader, stream bool) (string, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return "", err
	}
	if !stream {
		var a answer
		if err := json.Unmarshal(b, &a); err != nil || len(a.Choices) != 1 {
			return "", fmt.Errorf("not an answer: %w", err)
		}
		return a.Choices[0].Text, nil
	}
	var text strings.Builder
	ended := false
	for _, event := range strings.Split(string(b), "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var a answer
		if err := json.Unmarshal([]byte(data), &a); err != nil || a.Error != nil {
			return "", fmt.Errorf("stream broke: %s", data)
		}
		for _, c := range a.Choices {
			text.WriteString(c.Text)
		}
	}
	if !ended {
		return "", io.ErrUnexpectedEOF
	}
	return text.String(), nil
}

// charge sends one not-repeatable call, and sends it again with the same key through other daemons until it has an answer.
func (t *traffic) charge(n int) {
	body := []byte(fmt.Sprintf("charge number %d", n))
	header := map[string]string{caller.HeaderKey: fmt.Sprintf("charge-%d-%s", n, keys.New()[:8])}
	t.mu.Lock()
	t.kept = append(t.kept, string(body))
	t.mu.Unlock()
	for i := range resends {
		h := t.site.choose(n + i)
		w, err := t.request(h, "/services/"+serviceName+"/charges", body, header)
		if err != nil {
			continue
		}
		reply, _ := io.ReadAll(w.Body)
		w.Body.Close()
		if w.StatusCode == http.StatusOK {
			t.judgeCharge(n, body, reply)
			return
		}
		time.Sleep(10 * pause)
	}
	t.count(func(c *counts) { c.Failed++ })
}

func (t *traffic) judgeCharge(n int, body, reply []byte) {
	var effect struct {
		Body string `json:"body"`
		Run  int    `json:"run"`
	}
	if json.Unmarshal(reply, &effect) != nil || effect.Body != string(body) {
		t.count(func(c *counts) { c.Wrong++ })
		t.breachf("charge %d was answered wrongly: %q", n, reply)
		return
	}
	t.count(func(c *counts) { c.Whole++ })
	if effect.Run != 1 {
		t.breachf("charge %d ran %d times", n, effect.Run)
	}
}
