package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	maxBody           = 1 << 20
	maxHeader         = 32 << 10
	maxWait           = 5 * time.Minute
	pollInterval      = 20 * time.Millisecond
	changeTimeout     = 10 * time.Second
	defaultHistory    = 50
)

// Server answers operators; exported fields are set before Handler.
type Server struct {
	Operators *keys.Ring[string]
	Machine   *fleet.Machine
	Now       func() time.Time
	// Change writes a command to the log and returns after it is applied here too.
	Change func(ctx context.Context, c *fleet.Command) (fleet.Answer, error)
	Admit  func(ctx context.Context, member ident.Daemon) error
	Status func() Status
	// View calls fn with the planner's view of the fleet, which fn must not keep.
	View    func(fn func(w *planner.Snapshot))
	Policy  planner.Policy
	InForce func(revision ident.Revision) InForce
	// Whole tells whether requests can go to a group's epoch now.
	Whole func(name ident.Group, epoch ident.Epoch) bool
}

// NewServer returns a server without operators.
func NewServer() *Server {
	return &Server{Operators: &keys.Ring[string]{}, Now: time.Now}
}

// HTTP returns the http.Server with its bounds.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeader,
	}
}

// handler answers one request of the operator called by, with a value to encode or an error.
type handler func(r *http.Request, by string) (any, error)

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range map[string]handler{
		"POST " + PathChanges:               s.change,
		"GET " + PathChanges:                s.history,
		"GET " + PathGroups:                 s.groups,
		"GET " + PathGroups + "/{name}":     s.group,
		"GET " + PathGroups + "/{name}/why": s.explain,
		"GET " + PathVMs:                    s.vms,
		"GET " + PathVMs + "/{name}":        s.vm,
		"GET " + PathLimits:                 s.limits,
		"GET " + PathStatus:                 s.status,
		"GET " + PathWait:                   s.wait,
		"POST " + PathAdmit:                 s.admit,
	} {
		mux.HandleFunc(pattern, s.checked(h))
	}
	mux.HandleFunc("GET "+PathWatch, s.watch)
	return mux
}

func (s *Server) checked(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		by, ok := s.Operators.Find(keys.Bearer(r))
		if !ok {
			fail(w, result.New(result.OperatorForbidden, "present an operator's key as Authorization: Bearer"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		v, err := h(r, by)
		if err != nil {
			fail(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}

func fail(w http.ResponseWriter, err error) {
	code := result.CodeOf(err)
	info := result.Lookup(code)
	status := info.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Failure{Code: code, Name: info.Name, Text: result.Message(err), Next: info.Next})
}

// decode reads a body strictly: an unknown key is a mistake that the operator wants to hear of.
func decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return result.Wrap(err, result.ChangeInvalid, "body cannot be read")
	}
	if d.More() {
		return result.New(result.ChangeInvalid, "body goes on after its JSON value")
	}
	return nil
}

func (s *Server) change(r *http.Request, by string) (any, error) {
	var c Change
	if err := decode(r, &c); err != nil {
		return nil, err
	}
	command, err := c.command(by, s.Now())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	answer, err := s.Change(ctx, command)
	if err != nil {
		return nil, err
	}
	return Accepted{answer.Revision}, answer.Err()
}

func (s *Server) history(r *http.Request, _ string) (any, error) {
	limit, err := number(r, "limit", defaultHistory)
	if err != nil {
		return nil, err
	}
	list := []fleet.HistoryEntry{}
	s.Machine.Read(func(st *fleet.State) {
		from := max(0, len(st.History)-int(limit))
		list = append(list, st.History[from:]...)
	})
	return list, nil
}

func number(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, result.New(result.ChangeInvalid, "%s: %q is not a number", name, text)
	}
	return n, nil
}

func (s *Server) groups(*http.Request, string) (any, error) {
	list := []GroupView{}
	s.View(func(w *planner.Snapshot) {
		for i := range w.Groups {
			list = append(list, s.view(&w.Groups[i]))
		}
	})
	return list, nil
}

func (s *Server) view(g *planner.Group) GroupView {
	v := GroupView{Group: *g.Group, Phase: g.Phase.String()}
	v.Whole = g.Phase == fleet.GroupServing && s.Whole(g.Spec.Name, g.Epoch)
	if v.Members == nil {
		v.Members = []ident.VM{}
	}
	return v
}

func (s *Server) group(r *http.Request, _ string) (any, error) {
	var v *GroupView
	s.View(func(w *planner.Snapshot) {
		if g := w.Group(ident.Group(r.PathValue("name"))); g != nil {
			found := s.view(g)
			v = &found
		}
	})
	if v == nil {
		return nil, result.New(result.ChangeNotFound, "there is no group %s", r.PathValue("name"))
	}
	return v, nil
}

func (s *Server) explain(r *http.Request, _ string) (any, error) {
	var e planner.Explanation
	var ok bool
	s.View(func(w *planner.Snapshot) {
		e, ok = planner.Explain(w, s.Policy, ident.Group(r.PathValue("name")))
	})
	if !ok {
		return nil, result.New(result.ChangeNotFound, "there is no group %s", r.PathValue("name"))
	}
	return e, nil
}

func (s *Server) vms(*http.Request, string) (any, error) {
	list := []VMView{}
	s.View(func(w *planner.Snapshot) {
		for i := range w.VMs {
			list = append(list, vmView(&w.VMs[i]))
		}
	})
	return list, nil
}

func vmView(v *planner.VM) VMView {
	return VMView{VM: *v.VM, Phase: v.Phase.String(), Listing: v.Listing.String(), Condition: v.Condition.String()}
}

func (s *Server) vm(r *http.Request, _ string) (any, error) {
	var view *VMView
	s.View(func(w *planner.Snapshot) {
		if v := w.VM(ident.VM(r.PathValue("name"))); v != nil {
			found := vmView(v)
			view = &found
		}
	})
	if view == nil {
		return nil, result.New(result.ChangeNotFound, "there is no VM %s", r.PathValue("name"))
	}
	return view, nil
}

func (s *Server) limits(*http.Request, string) (any, error) {
	limits := map[ident.Customer]fleet.CustomerLimits{}
	s.Machine.Read(func(st *fleet.State) {
		for name, l := range st.Limits {
			limits[name] = l
		}
	})
	return limits, nil
}

func (s *Server) status(*http.Request, string) (any, error) {
	return s.Status(), nil
}

// wait answers when the revision is in force everywhere, or with what is missing when the time has passed.
func (s *Server) wait(r *http.Request, _ string) (any, error) {
	revision, err := number(r, "revision", 0)
	if err != nil {
		return nil, err
	}
	timeout, err := time.ParseDuration(r.URL.Query().Get("timeout"))
	if err != nil || timeout < 0 || timeout > maxWait {
		return nil, result.New(result.ChangeInvalid, "timeout: a time such as 10s of at most %s is required", maxWait)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	for {
		f := s.InForce(ident.Revision(revision))
		if f.Done {
			return f, nil
		}
		select {
		case <-ctx.Done():
			return f, nil
		case <-time.After(pollInterval):
		}
	}
}

func (s *Server) admit(r *http.Request, _ string) (any, error) {
	var a AdmitRequest
	if err := decode(r, &a); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	return struct{}{}, s.Admit(ctx, a.Member)
}

// watch writes one JSON line for each operator's change, from the revision asked for on, until the client goes.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.Operators.Find(keys.Bearer(r)); !ok {
		fail(w, result.New(result.OperatorForbidden, "present an operator's key as Authorization: Bearer"))
		return
	}
	after, err := number(r, "after", 0)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		changed := s.Machine.Changed()
		for _, h := range s.changesAfter(ident.Revision(after)) {
			after = uint64(h.Revision)
			if encoder.Encode(h) != nil {
				return
			}
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) changesAfter(revision ident.Revision) []fleet.HistoryEntry {
	var list []fleet.HistoryEntry
	s.Machine.Read(func(st *fleet.State) {
		i := len(st.History)
		for i > 0 && st.History[i-1].Revision > revision {
			i--
		}
		list = append(list, st.History[i:]...)
	})
	return list
}
