package unread

// An upstream can request something with a header that this build does not know.
// The request is then ignored, and the first visible effect is on callers and
// upstreams. So every header of an answer that is neither recognized here, nor
// standard, nor declared as the application's own is recorded once per
// incarnation of an upstream:
//
//	Content-Type: text/event-stream     standard
//	Request-Id: 17                      recognized
//	Weight-Versions: 3                  declared as the application's own
//	Queue-Hint: 7                       recorded

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

const (
	// maxNamesPerUpstream and maxUpstreams bound the memory, since an upstream can send arbitrary names.
	maxNamesPerUpstream = 8
	maxUpstreams        = 4096
	// maxNameBytes is the length to which names are cut.
	maxNameBytes = 64
)

// standardHeaders are the headers that HTTP and related standards define for answers; they concern intermediaries or the caller.
var standardHeaders = canonicalSet(
	"Accept-Ranges", "Access-Control-Allow-Credentials", "Access-Control-Allow-Headers", "Access-Control-Allow-Methods",
	"Access-Control-Allow-Origin", "Access-Control-Expose-Headers", "Access-Control-Max-Age", "Age", "Allow", "Alt-Svc", "Cache-Control",
	"Connection", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Length", "Content-Location", "Content-Range",
	"Content-Security-Policy", "Content-Type", "Date", "Etag", "Expires", "Keep-Alive", "Last-Modified", "Link", "Location", "Pragma",
	"Proxy-Authenticate", "Referrer-Policy", "Retry-After", "Server", "Set-Cookie", "Strict-Transport-Security", "Trailer",
	"Transfer-Encoding", "Upgrade", "Vary", "Via", "Warning", "Www-Authenticate", "X-Accel-Buffering", "X-Content-Type-Options",
	"X-Frame-Options",
)

func canonicalSet(names ...string) map[string]bool {
	s := map[string]bool{}
	for _, name := range names {
		s[http.CanonicalHeaderKey(name)] = true
	}
	return s
}

// List holds the recorded header names by upstream.
type List[K comparable] struct {
	recognized map[string]bool

	mu              sync.Mutex
	namesByUpstream map[K]map[string]bool
}

// New returns a list for a reader that recognizes the given headers in addition to the standard ones.
func New[K comparable](recognized ...string) *List[K] {
	l := &List[K]{recognized: canonicalSet(recognized...), namesByUpstream: map[K]map[string]bool{}}
	maps.Copy(l.recognized, standardHeaders)
	return l
}

// AddHeaders records the unrecognized headers of an answer, and returns those that are new for the upstream.
func (l *List[K]) AddHeaders(upstream K, header http.Header) []string {
	var added []string
	for name := range header {
		if !l.recognized[name] && l.add(upstream, name[:min(maxNameBytes, len(name))]) {
			added = append(added, name)
		}
	}
	return added
}

// AddNames records names that another reader found, and returns those that are new for the upstream.
func (l *List[K]) AddNames(upstream K, names []string) []string {
	var added []string
	for _, name := range names {
		if l.add(upstream, name[:min(maxNameBytes, len(name))]) {
			added = append(added, name)
		}
	}
	return added
}

// Each calls visit for each upstream with recorded names.
func (l *List[K]) Each(visit func(upstream K, names []string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream, names := range l.namesByUpstream {
		visit(upstream, slices.Sorted(maps.Keys(names)))
	}
}

// add records a name, and reports whether it is new for the upstream.
func (l *List[K]) add(upstream K, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := l.namesByUpstream[upstream]
	if names[name] || len(names) >= maxNamesPerUpstream || names == nil && len(l.namesByUpstream) >= maxUpstreams {
		return false
	}
	if names == nil {
		names = map[string]bool{}
		l.namesByUpstream[upstream] = names
	}
	names[name] = true
	return true
}

// Of returns the names recorded for an upstream, sorted.
func (l *List[K]) Of(upstream K) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.namesByUpstream[upstream]))
}

// Retain drops the upstreams for which keep returns false.
func (l *List[K]) Retain(keep func(upstream K) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.namesByUpstream, func(upstream K, _ map[string]bool) bool { return !keep(upstream) })
}
