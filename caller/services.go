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
	headers, err := s.readHeaders(r)
	var call *dispatch.Call
	if err == nil {
		call, err = s.readCall(w, r, &headers)
	}
	if err != nil {
		s.OnRefused(customer, result.CodeOf(err))
		s.writeError(w, r, err, &headers)
		return
	}
	call.ID, call.Customer = ident.NewRequest(), customer
	w.Header().Set(HeaderRequestID, string(call.ID))
	reply, err := s.ServeCall(r.Context(), call)
	if err != nil {
		s.writeError(w, r, err, &headers)
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

func (s *Server) readCall(w http.ResponseWriter, r *http.Request, headers *requestHeaders) (*dispatch.Call, error) {
	service, ok := s.findService(ident.Service(r.PathValue("service")))
	if !ok {
		return nil, result.New(result.ServiceUnknown, "unknown service %q", r.PathValue("service"))
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	call := &dispatch.Call{
		Class: headers.class.Name, Priority: headers.class.Priority, Deadline: headers.deadline, Service: service.Name,
		Method: r.Method, Path: strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+r.PathValue("service")),
		Query: r.URL.RawQuery, Header: r.Header, Body: body, Key: headers.key,
	}
	call.Content = quarantine.ContentOf(r.URL.RequestURI(), body)
	call.AtMostOnce = headers.notRepeatable || matchesNotRepeatable(&service, r.Method, "/"+r.PathValue("path"))
	call.Repeatable = !call.AtMostOnce && isSafe(r.Method)
	if call.AtMostOnce && call.Key == "" {
		return nil, result.New(result.KeyRequired, "%s %s is not repeatable and needs the header %s", call.Method, call.Path, HeaderKey)
	}
	if call.AtMostOnce {
		call.Digest = sha256.Sum256([]byte(call.Method + "\n" + r.URL.RequestURI() + "\n" + string(body)))
	}
	return call, nil
}

// isSafe reports whether requests with the method have no side effects, so that they can be retried.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (s *Server) findService(name ident.Service) (settings.Service, bool) {
	for _, service := range s.Services {
		if service.Name == name {
			return service, true
		}
	}
	return settings.Service{}, false
}

// matchesNotRepeatable reports whether the request matches one of the service's not-repeatable routes, "METHOD /path". The
// method * matches every method, and a trailing /* every path below. The path is cleaned first, so that a doubled slash or
// a dot segment cannot bypass a route.
func matchesNotRepeatable(service *settings.Service, method, requestPath string) bool {
	cleanPath := path.Clean("/" + requestPath)
	for _, route := range service.NotRepeatable {
		routeMethod, pattern, _ := strings.Cut(route, " ")
		if routeMethod != "*" && !strings.EqualFold(routeMethod, method) {
			continue
		}
		if prefix, ok := strings.CutSuffix(pattern, "/*"); ok && strings.HasPrefix(cleanPath+"/", prefix+"/") || cleanPath == path.Clean(pattern) {
			return true
		}
	}
	return false
}
