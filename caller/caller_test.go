package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/dunlinquay/dunlinquay/caller"
	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

// testServer is a server whose Serve and ServeCall record the request and answer without a dispatcher.
type testServer struct {
	*caller.Server
	url         string
	lastRequest *dispatch.Request
	lastCall    *dispatch.Call
	serve       func(sink dispatch.Sink) (*dispatch.Answer, error)
}

var words = []string{"snow ", "above ", "1200 ", "\"m\"\n", "Zugspitze ❄"}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{Server: caller.NewServer()}
	s.Customers.Add(keys.Hash("secret"), "c")
	s.Classes = settings.Default().Classes
	s.Limits = settings.Default().Limits
	s.Limits.BodyBytes = 10_000
	s.Services = []settings.Service{{Name: "pay", NotRepeatable: []string{"POST /charges", "* /void/*"}}}
	s.Models = func() []ident.Model { return []ident.Model{"m", "m:alps"} }
	s.serve = func(sink dispatch.Sink) (*dispatch.Answer, error) { return sendWords(sink, words) }
	s.Serve = func(_ context.Context, r *dispatch.Request, sink dispatch.Sink) (*dispatch.Answer, error) {
		s.lastRequest = r
		return s.serve(sink)
	}
	s.ServeCall = func(_ context.Context, c *dispatch.Call) (*dispatch.Reply, error) {
		s.lastCall = c
		return &dispatch.Reply{Status: http.StatusAccepted, Header: map[string][]string{"X-Reply": {"1"}}, Body: []byte("done")}, nil
	}
	httpServer := httptest.NewUnstartedServer(nil)
	httpServer.Config = s.HTTP()
	httpServer.Start()
	t.Cleanup(httpServer.Close)
	s.url = httpServer.URL
	return s
}

func sendWords(sink dispatch.Sink, words []string) (*dispatch.Answer, error) {
	for i, word := range words {
		if sink == nil {
			break
		}
		if err := sink(word, i%2 == 0); err != nil {
			return nil, err
		}
	}
	return &dispatch.Answer{Text: strings.Join(words, ""), Finish: "stop", Tokens: len(words), PromptTokens: 3}, nil
}

func (s *testServer) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(s.url+"/v1"), option.WithAPIKey("secret"), option.WithMaxRetries(0))
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Will it snow?")},
		MaxTokens: openai.Int(50), Temperature: openai.Float(0), TopP: openai.Float(0.9),
	}
}

// Uses OpenAI's published client, unmodified.
func TestOpenAIClient(t *testing.T) {
	s := newTestServer(t)
	client := s.client()
	wantText := strings.Join(words, "")

	plain, err := client.Chat.Completions.New(t.Context(), chatParams())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(wantText, plain.Choices[0].Message.Content); diff != "" || plain.Choices[0].FinishReason != "stop" || plain.Usage.TotalTokens != 8 {
		t.Errorf("chat that is not streamed: %+v\n%s", plain, diff)
	}
	if r := s.lastRequest; r.MaxTokens != 50 || !r.Deterministic || !r.Chat || string(r.Options) != `{"temperature":0,"top_p":0.9}` {
		t.Errorf("request %+v with options %s", r, r.Options)
	}

	params := chatParams()
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		accumulated.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(wantText, accumulated.Choices[0].Message.Content); diff != "" || accumulated.Choices[0].FinishReason != "stop" || accumulated.Usage.TotalTokens != 8 {
		t.Errorf("streamed chat: %+v\n%s", accumulated.ChatCompletion, diff)
	}

	text, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "m:alps", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Will it")},
	})
	if err != nil {
		t.Fatal(err)
	}
	if text.Choices[0].Text != wantText || s.lastRequest.Adapter != "alps" || s.lastRequest.Model != "m" {
		t.Errorf("completion %q of model %q with adapter %q", text.Choices[0].Text, s.lastRequest.Model, s.lastRequest.Adapter)
	}

	models, err := client.Models.List(t.Context())
	if err != nil || len(models.Data) != 2 || models.Data[1].ID != "m:alps" {
		t.Errorf("models %+v, error %v", models, err)
	}
}

func TestErrorsReadByOpenAIClient(t *testing.T) {
	s := newTestServer(t)
	client := s.client()
	for _, code := range []result.Code{result.LimitExceeded, result.NoWholeGroup, result.TimedOut, result.OutcomeUnknown, result.ModelUnknown} {
		s.serve = func(dispatch.Sink) (*dispatch.Answer, error) { return nil, result.New(code, "because") }
		_, err := client.Chat.Completions.New(t.Context(), chatParams())
		var apiError *openai.Error
		info := result.Lookup(code)
		if !errors.As(err, &apiError) || apiError.StatusCode != info.Status || apiError.Code != info.Name || apiError.Message != "because" {
			t.Errorf("code %d: %v", code, err)
			continue
		}
		if got := apiError.Response.Header.Get(caller.HeaderNotRun); got != fmt.Sprint(info.NotRun) {
			t.Errorf("code %d: not run %s", code, got)
		}
	}
}

// A keyed request may be reported as not run only if its claim was granted; a request refused before that may have run
// earlier with the same key.
func TestNotRunOfKeyedRequests(t *testing.T) {
	s := newTestServer(t)
	afterClaim := map[result.Code]bool{
		result.LimitExceeded: true, result.Overloaded: true, result.DeadlineUnreachable: true, result.NoWholeGroup: true, result.ModelUnknown: true,
		result.BackedOff: true,
	}
	for _, info := range result.Table() {
		if info.Code == result.OK || info.Status == 0 {
			continue
		}
		s.serve = func(dispatch.Sink) (*dispatch.Answer, error) { return nil, result.New(info.Code, "because") }
		response := s.post(t, "/v1/completions", `{"model":"m","prompt":"p"}`, map[string]string{caller.HeaderKey: "k"})
		response.Body.Close()
		if got := response.Header.Get(caller.HeaderNotRun) == "true"; got != afterClaim[info.Code] {
			t.Errorf("%d %s with a key: not run %t, want %t", info.Code, info.Name, got, afterClaim[info.Code])
		}
	}
}

// Guards against a stream that fails after its first events and looks complete to the client.
func TestBrokenStreamIsError(t *testing.T) {
	s := newTestServer(t)
	s.serve = func(sink dispatch.Sink) (*dispatch.Answer, error) {
		if _, err := sendWords(sink, words[:2]); err != nil {
			return nil, err
		}
		return nil, result.New(result.UpstreamFailed, "because")
	}
	client := s.client()
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	for stream.Next() {
		if c := stream.Current(); len(c.Choices) > 0 && c.Choices[0].FinishReason != "" {
			t.Errorf("the broken stream has the finish reason %q", c.Choices[0].FinishReason)
		}
	}
	if stream.Err() == nil {
		t.Error("the client reports no error for the broken stream")
	}
	response := s.post(t, "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, nil)
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err == nil || strings.Contains(string(body), "[DONE]") || !strings.Contains(string(body), `"result-code":2014`) {
		t.Errorf("error %v after %q", err, body)
	}
}

func (s *testServer) post(t *testing.T, path, body string, header map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer secret")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestResultCodesOfBadRequests(t *testing.T) {
	s := newTestServer(t)
	const path, good = "/v1/completions", `{"model":"m","prompt":"p"}`
	for _, c := range []struct {
		name   string
		path   string
		body   string
		header map[string]string
		code   result.Code
		notRun bool
	}{
		{"good", path, good, nil, 0, false},
		{"no API key", path, good, map[string]string{"Authorization": ""}, result.Unauthorized, true},
		{"a wrong API key", path, good, map[string]string{"Authorization": "Bearer other"}, result.Unauthorized, true},
		{"no such path", "/v2/x", good, nil, result.NotFound, true},
		{"not JSON", path, `{"model":`, nil, result.BadRequest, true},
		{"two values", path, good + good, nil, result.BadRequest, true},
		{"a list as the body", path, `[]`, nil, result.BadRequest, true},
		{"no model", path, `{"prompt":"p"}`, nil, result.BadRequest, true},
		{"no prompt", path, `{"model":"m"}`, nil, result.BadRequest, true},
		{"null as the prompt", path, `{"model":"m","prompt":null}`, nil, result.BadRequest, true},
		{"two prompts", path, `{"model":"m","prompt":["a","b"]}`, nil, result.BadRequest, true},
		{"no messages", "/v1/chat/completions", `{"model":"m","messages":[]}`, nil, result.BadRequest, true},
		{"messages that are not a list", "/v1/chat/completions", `{"model":"m","messages":"x"}`, nil, result.BadRequest, true},
		{"a duplicate key in different case", path, `{"model":"m","prompt":"p","Model":"n"}`, nil, result.BadRequest, true},
		{"two answers requested", path, `{"model":"m","prompt":"p","n":2}`, nil, result.BadRequest, true},
		{"max_tokens of 0", path, `{"model":"m","prompt":"p","max_tokens":0}`, nil, result.BadRequest, true},
		{"too large", path, `{"model":"m","prompt":"` + strings.Repeat("x", 10_000) + `"}`, nil, result.TooLarge, true},
		{"an unknown class", path, good, map[string]string{caller.HeaderClass: "x"}, result.BadRequest, true},
		{"a deadline that is not a duration", path, good, map[string]string{caller.HeaderDeadline: "soon"}, result.BadRequest, true},
		{"a negative deadline", path, good, map[string]string{caller.HeaderDeadline: "-1s"}, result.BadRequest, true},
		{"not repeatable without an idempotency key", path, good, map[string]string{caller.HeaderNotRepeatable: "true"}, result.KeyRequired, true},
		{"not-repeatable neither true nor false", path, good, map[string]string{caller.HeaderNotRepeatable: "maybe"}, result.BadRequest, true},
		{"an idempotency key that is too long", path, good, map[string]string{caller.HeaderKey: strings.Repeat("k", 300)}, result.BadRequest, false},
		{"a bad request whose idempotency key may have been used before", path, `{`, map[string]string{caller.HeaderKey: "k"}, result.BadRequest, false},
		{"no such service", "/services/x/y", "", nil, result.ServiceUnknown, true},
		{"a not-repeatable route without an idempotency key", "/services/pay/charges", "", nil, result.KeyRequired, true},
		{"the same route with dot segments and doubled slashes", "/services/pay/x/..//charges/", "", nil, result.KeyRequired, true},
		{"the same route with an escaped character", "/services/pay/%63harges", "", nil, result.KeyRequired, true},
		{"a path below a not-repeatable route", "/services/pay/void/7", "", nil, result.KeyRequired, true},
	} {
		response := s.post(t, c.path, c.body, c.header)
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if c.code == 0 {
			if response.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d: %s", c.name, response.StatusCode, body)
			}
			continue
		}
		var answer struct {
			Error struct {
				Number int  `json:"result-code"`
				NotRun bool `json:"not-run"`
			} `json:"error"`
		}
		if err := json.Unmarshal(body, &answer); err != nil || result.Code(answer.Error.Number) != c.code || answer.Error.NotRun != c.notRun {
			t.Errorf("%s: status %d, want code %d and not run %t: %s", c.name, response.StatusCode, c.code, c.notRun, body)
		}
	}
}

func TestHeadersSetRequestFields(t *testing.T) {
	s := newTestServer(t)
	response := s.post(t, "/v1/completions", `{"model":"m","prompt":"p"}`, map[string]string{
		caller.HeaderClass: "batch", caller.HeaderDeadline: "90s", caller.HeaderKey: "k1",
	})
	response.Body.Close()
	r := s.lastRequest
	if r.Class != "batch" || r.Priority != 1 || r.Customer != "c" || r.Repeatable || r.Key != "k1" {
		t.Errorf("request %+v", r)
	}
	if left := time.Until(r.Deadline); left > 90*time.Second || left < 30*time.Second {
		t.Errorf("deadline in %s", left)
	}
	if id := response.Header.Get(caller.HeaderRequestID); id == "" || id != string(r.ID) {
		t.Errorf("request id %q in the header, %q in the request", id, r.ID)
	}
	firstDigest := r.Digest
	response = s.post(t, "/v1/completions", `{"model":"m","prompt":"q"}`, map[string]string{caller.HeaderKey: "k1"})
	response.Body.Close()
	if s.lastRequest.Digest == firstDigest {
		t.Error("the digest is the same for two different bodies")
	}
}

func TestServiceCalls(t *testing.T) {
	s := newTestServer(t)
	response := s.post(t, "/services/pay/charges?x=1", "body", map[string]string{caller.HeaderKey: "k1", "X-Asked": "1"})
	body, _ := io.ReadAll(response.Body)
	response.Body.Close()
	if response.StatusCode != http.StatusAccepted || string(body) != "done" || response.Header.Get("X-Reply") != "1" {
		t.Errorf("status %d, body %q, header %v", response.StatusCode, body, response.Header)
	}
	call := s.lastCall
	if call.Path != "/charges" || call.Query != "x=1" || call.Method != http.MethodPost || string(call.Body) != "body" || !call.AtMostOnce || call.Repeatable || call.Header["X-Asked"][0] != "1" {
		t.Errorf("call %+v", call)
	}
	response = s.post(t, "/services/pay/other", "", nil)
	response.Body.Close()
	if s.lastCall.AtMostOnce || s.lastCall.Repeatable {
		t.Errorf("a POST without a not-repeatable route: at most once %t, repeatable %t", s.lastCall.AtMostOnce, s.lastCall.Repeatable)
	}
}

func TestHealthPaths(t *testing.T) {
	s := newTestServer(t)
	s.CheckReady = func() error { return result.New(result.ControlUnreachable, "no connection to the control daemon") }
	for _, c := range []struct {
		path   string
		status int
	}{{"/healthz", 200}, {"/readyz", 503}} {
		response, err := http.Get(s.url + c.path)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("%s: status %d", c.path, response.StatusCode)
		}
	}
}

// Requests that an HTTP client would not send, among them those that two servers could split differently (request smuggling).
func TestMalformedRawRequests(t *testing.T) {
	s := newTestServer(t)
	address := strings.TrimPrefix(s.url, "http://")
	const head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
	for _, c := range []struct {
		name    string
		request string
		status  string
	}{
		{"two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", "400"},
		{"a length that is not a number", head + "Content-Length: x\r\n\r\n{}", "400"},
		{"an unknown transfer encoding", head + "Transfer-Encoding: strange\r\n\r\n{}", "501"},
		{"a space before the colon", head + "Content-Length : 2\r\n\r\n{}", "400"},
		{"huge headers", head + "X: " + strings.Repeat("y", 100_000) + "\r\n\r\n", "431"},
		{"not HTTP", "hello\r\n\r\n", "400"},
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.WriteString(conn, c.request) }()
		line, err := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if err != nil || !strings.Contains(line, " "+c.status+" ") {
			t.Errorf("%s: %q, error %v; want %s", c.name, line, err, c.status)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`{"model":"m","prompt":"p","stream":true,"stream_options":{"include_usage":true}}`, false)
	f.Add(`{"model":"m:a","messages":[{"role":"user","content":"x"}],"max_tokens":1,"seed":3,"stop":["x"]}`, true)
	f.Add(`{"model":"m","prompt":["p"],"n":1}`, false)
	f.Add(`{"a":{"b":[1,2,{"c":null}]},"model":"m"}`, true)
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		p, err := caller.ParseCompletion([]byte(body), chat)
		if err != nil {
			if code := result.CodeOf(err); code != result.BadRequest {
				t.Fatalf("code %d: %v", code, err)
			}
			return
		}
		r := &p.Request
		if r.Model == "" || len(r.Prompt) == 0 || r.MaxTokens < 1 || !json.Valid(r.Prompt) || len(r.Options) > 0 && !json.Valid(r.Options) {
			t.Fatalf("accepted as %+v", r)
		}
	})
}

// The messages of a chat are told apart by their digests, of which requests that share messages have the same ones.
func TestDigestsOfMessages(t *testing.T) {
	parts := func(body string, chat bool) []ident.PromptPart {
		parsed, err := caller.ParseCompletion([]byte(body), chat)
		if err != nil {
			t.Fatal(err)
		}
		return parsed.Request.PromptParts
	}
	one := parts(`{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]}`, true)
	two := parts(`{"model":"m", "messages": [{"role":"system","content":"a"}, {"role":"user","content":"c"}]}`, true)
	if len(one) != 2 || len(two) != 2 || one[0] != two[0] || one[1] == two[1] {
		t.Errorf("digests %v and %v, want the first equal and the last different", one, two)
	}
	if many := parts(`{"model":"m","messages":[{}`+strings.Repeat(`,{}`, 500)+`]}`, true); len(many) != 64 {
		t.Errorf("%d messages are digested, want 64", len(many))
	}
	if list := parts(`{"model":"m","prompt":"a"}`, false); len(list) != 0 {
		t.Errorf("digests %v of a prompt without messages", list)
	}
}
