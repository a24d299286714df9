package caller

import (
	"crypto/sha256"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

func (s *Server) handleService(w http.ResponseWriter, r *http.Request, customer ident.Customer) {
	e, err := s.envelope(r)
	var c *dispatch.Call
	if err == nil {
		c, err = s.call(w, r, &e)
	}
	if err != nil {
		s.Refused(customer, result.CodeOf(err))
		s.fail(w, r, err, &e)
		return
	}
	c.ID, c.Customer = ident.NewRequest(), customer
	w.Header().Set(HeaderRequest, string(c.ID))
	reply, err := s.ServeCall(r.Context(), c)
	if err != nil {
		s.fail(w, r, err, &e)
		return
	}
	h := w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func (s *Server) call(w http.ResponseWriter, r *http.Request, e *envelope) (*dispatch.Call, error) {
	service, ok := s.service(ident.Service(r.PathValue("service")))
	if !ok {
		return nil, result.New(result.ServiceUnknown, "there is no service %q", r.PathValue("service"))
	}
	body, err := s.body(w, r)
	if err != nil {
		return nil, err
	}
	c := &dispatch.Call{
		Class: e.class.Name, Priority: e.class.Priority, Deadline: e.deadline, Service: service.Name,
		Method: r.Method, Path: strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+r.PathValue("service")),
		Query: r.URL.RawQuery, Header: r.Header, Body: body, Key: e.key,
	}
	c.Content = quarantine.ContentOf(r.URL.RequestURI(), body)
	c.AtMostOnce = e.notRepeatable || notRepeatable(&service, r.Method, "/"+r.PathValue("path"))
	c.Repeatable = !c.AtMostOnce && safe(r.Method)
	if c.AtMostOnce && c.Key == "" {
		return nil, result.New(result.KeyRequired, "%s %s must not be repeated and needs the header %s", c.Method, c.Path, HeaderKey)
	}
	if c.AtMostOnce {
		c.Digest = sha256.Sum256([]byte(c.Method + "\n" + r.URL.RequestURI() + "\n" + string(body)))
	}
	return c, nil
}

// safe methods ask for no effect, so that sending them again does no harm.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (s *Server) service(name ident.Service) (settings.Service, bool) {
	for _, service := range s.Services {
		if service.Name == name {
			return service, true
		}
	}
	return settings.Service{}, false
}

// notRepeatable matches a route of the settings, "METHOD /path"; a trailing /* covers everything below. The path is
// cleaned first, so that doubled slashes or dots do not slip past a route.
func notRepeatable(s *settings.Service, method, p string) bool {
	clean := path.Clean("/" + p)
	for _, route := range s.NotRepeatable {
		routeMethod, pattern, _ := strings.Cut(route, " ")
		if routeMethod != "*" && !strings.EqualFold(routeMethod, method) {
			continue
		}
		if prefix, ok := strings.CutSuffix(pattern, "/*"); ok && strings.HasPrefix(clean+"/", prefix+"/") || clean == path.Clean(pattern) {
			return true
		}
	}
	return false
}
