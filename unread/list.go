package unread

// A peer may say what it wants with a word that this build does not know. Nobody
// acts on it then, and nobody sees that: callers and upstreams suffer first. So
// each header of an answer that is neither known here, nor standard, nor declared
// as the application's own is noted once for each life of an upstream:
//
//	Content-Type: text/event-stream     standard
//	Request-Id: 17                      known
//	Weight-Versions: 3                  the application's own, by the settings
//	Queue-Hint: 7                       noted

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

const (
	// maxNamesPerUpstream bounds the names that are kept of one upstream, maxUpstreams the upstreams: an upstream may make names up.
	maxNamesPerUpstream = 8
	maxUpstreams        = 4096
	// maxNameBytes bounds a name.
	maxNameBytes = 64
)

// standardHeaders are the headers that HTTP and what is usual around it define for answers; they concern what carries an answer, or the caller.
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

// List is which words were noted, by upstream.
type List[K comparable] struct {
	recognized map[string]bool

	mu              sync.Mutex
	namesByUpstream map[K]map[string]bool
}

// New returns a list for a reader that knows some headers beside the standard ones.
func New[K comparable](recognized ...string) *List[K] {
	l := &List[K]{recognized: canonicalSet(recognized...), namesByUpstream: map[K]map[string]bool{}}
	maps.Copy(l.recognized, standardHeaders)
	return l
}

// AddHeaders notes the headers of an answer that nothing reads, and returns those that are new of this upstream.
func (l *List[K]) AddHeaders(upstream K, header http.Header) []string {
	var added []string
	for name := range header {
		if !l.recognized[name] && l.add(upstream, name[:min(maxNameBytes, len(name))]) {
			added = append(added, name)
		}
	}
	return added
}

// AddNames notes names that another reader found, and returns those that are new of this upstream.
func (l *List[K]) AddNames(upstream K, names []string) []string {
	var added []string
	for _, name := range names {
		if l.add(upstream, name[:min(maxNameBytes, len(name))]) {
			added = append(added, name)
		}
	}
	return added
}

// Each calls visit for each upstream of which something was noted.
func (l *List[K]) Each(visit func(upstream K, names []string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream, names := range l.namesByUpstream {
		visit(upstream, slices.Sorted(maps.Keys(names)))
	}
}

// add reports whether a name is new of an upstream.
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

// Of returns what was noted of an upstream, in order.
func (l *List[K]) Of(upstream K) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.namesByUpstream[upstream]))
}

// Retain forgets the upstreams that keep does not name.
func (l *List[K]) Retain(keep func(upstream K) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.namesByUpstream, func(upstream K, _ map[string]bool) bool { return !keep(upstream) })
}
