package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

// Headers in addition to those of HTTP and of the OpenAI interface.
const (
	HeaderClass         = "Dunlinquay-Class"
	HeaderDeadline      = "Dunlinquay-Deadline"
	HeaderNotRepeatable = "Dunlinquay-Not-Repeatable"
	HeaderRequestID     = "Dunlinquay-Request-Id"
	HeaderResultCode    = "Dunlinquay-Result-Code"
	HeaderNotRun        = "Dunlinquay-Not-Run"
	HeaderKey           = "Idempotency-Key"
)

const (
	readHeaderTimeout = 5 * time.Second
	bodyTimeout       = 30 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxDeadline       = time.Hour
	maxKeyLength      = 255
)

// Server answers callers. Its exported fields are set before Handler is called.
type Server struct {
	Customers *keys.Ring[ident.Customer]
	Classes   []settings.Class
	Limits    settings.Limits
	Services  []settings.Service
	Now       func() time.Time
	Serve     func(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) (*dispatch.Answer, error)
	ServeCall func(ctx context.Context, c *dispatch.Call) (*dispatch.Reply, error)
	// Models lists the declared models and adapters ("model:adapter").
	Models func() []ident.Model
	// CheckReady returns why the load balancer should send no requests to this daemon, or nil.
	CheckReady func() error
	// OnRefused is called for each request that fails before Serve or ServeCall is called, except for unknown paths.
	OnRefused func(customer ident.Customer, code result.Code)

	inProgress atomic.Int64
	// active holds the connections of HTTP's server whose answer has not been sent to its end.
	active   sync.Map
	stopping atomic.Bool
}

// NewServer returns a server that reports ready and has no customers.
func NewServer() *Server {
	return &Server{
		Customers:  &keys.Ring[ident.Customer]{},
		Now:        clock.Now,
		Models:     func() []ident.Model { return nil },
		CheckReady: func() error { return nil },
		OnRefused:  func(ident.Customer, result.Code) {},
	}
}

// HTTP returns an http.Server with limits on header size, the time to read the headers, and idle time.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateActive {
				s.active.Store(conn, nil)
				return
			}
			s.active.Delete(conn)
		},
	}
}

// InProgress returns the number of requests whose answers have not been sent. net/http sends the end of an answer after the handler.
func (s *Server) InProgress() int {
	active := 0
	s.active.Range(func(any, any) bool { active++; return true })
	return max(int(s.inProgress.Load()), active)
}

// Stop makes the server refuse every later request as not run; requests in progress continue.
func (s *Server) Stop() {
	s.stopping.Store(true)
}

// Handler returns the routes. All except the two health checks require a customer's key.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("GET /v1/models", s.authenticate(s.handleModels))
	mux.HandleFunc("POST /v1/chat/completions", s.authenticate(s.handleChatCompletion))
	mux.HandleFunc("POST /v1/completions", s.authenticate(s.handleTextCompletion))
	mux.HandleFunc("/services/{service}/{path...}", s.authenticate(s.handleService))
	mux.HandleFunc("/", s.authenticate(func(w http.ResponseWriter, r *http.Request, _ ident.Customer) {
		s.writeError(w, r, result.New(result.NotFound, "no route for %s %s", r.Method, r.URL.Path), nil)
	}))
	return mux
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.CheckReady(); err != nil {
		http.Error(w, result.Text(err), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// authenticate counts the request as in progress and calls next with the customer whose key the request carries.
func (s *Server) authenticate(next func(w http.ResponseWriter, r *http.Request, customer ident.Customer)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// Counted before stopping is checked, so that InProgress after Stop includes every request that passed the check.
		s.inProgress.Add(1)
		defer s.inProgress.Add(-1)
		customer, ok := s.Customers.Find(keys.Bearer(r))
		switch {
		case !ok:
			s.OnRefused("", result.Unauthorized)
			s.writeError(w, r, result.New(result.Unauthorized, "no valid key in the header Authorization: Bearer KEY"), nil)
		case s.stopping.Load():
			s.OnRefused(customer, result.Stopping)
			w.Header().Set("Connection", "close")
			s.writeError(w, r, result.New(result.Stopping, "this daemon is stopping; use another one"), nil)
		default:
			next(w, r, customer)
		}
	}
}

// requestHeaders are the parsed headers of a completion request or service call.
type requestHeaders struct {
	class         settings.Class
	deadline      time.Time
	notRepeatable bool
	key           string
}

func (s *Server) readHeaders(r *http.Request) (requestHeaders, error) {
	headers := requestHeaders{class: s.Classes[0], key: r.Header.Get(HeaderKey)}
	if name := r.Header.Get(HeaderClass); name != "" {
		class, ok := s.findClass(ident.Class(name))
		if !ok {
			return headers, result.New(result.BadRequest, "%s: unknown class %q", HeaderClass, name)
		}
		headers.class = class
	}
	timeout := headers.class.Deadline.Std()
	if text := r.Header.Get(HeaderDeadline); text != "" {
		given, err := time.ParseDuration(text)
		if err != nil || given <= 0 || given > maxDeadline {
			return headers, result.New(result.BadRequest, "%s: %q is not a positive duration such as 1.5s, at most %s", HeaderDeadline, text, maxDeadline)
		}
		timeout = given
	}
	headers.deadline = s.Now().Add(timeout)
	switch value := strings.ToLower(r.Header.Get(HeaderNotRepeatable)); value {
	case "", "false", "true":
		// A caller that sends a key wants the request to run at most once, even without HeaderNotRepeatable.
		headers.notRepeatable = value == "true" || headers.key != ""
	default:
		return headers, result.New(result.BadRequest, "%s: %q is neither true nor false", HeaderNotRepeatable, value)
	}
	if len(headers.key) > maxKeyLength {
		return headers, result.New(result.BadRequest, "%s: the key is longer than %d bytes", HeaderKey, maxKeyLength)
	}
	return headers, nil
}

func (s *Server) findClass(name ident.Class) (settings.Class, bool) {
	for _, c := range s.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return settings.Class{}, false
}

// readBody reads the whole body, subject to the limit on its size and to bodyTimeout.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.Limits.BodyBytes)))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.TooLarge, "body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "body cannot be read")
	}
	return b, nil
}
