package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/daemon"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/settings"
)

// benchCluster runs daemons and engines on loopback sockets; the first three daemons are control members.
type benchCluster struct {
	b                        *testing.B
	names                    []ident.Daemon
	daemons                  []*daemon.Daemon
	engines                  []*engine.StandIn
	operatorKey, customerKey string
	stop                     func()
}

func newBenchCluster(b *testing.B, daemons, engines int) *benchCluster {
	b.Helper()
	l := &benchCluster{b: b, operatorKey: keys.New(), customerKey: keys.New()}
	var upstreams []settings.Upstream
	for i := range engines {
		e := engine.NewStandIn()
		e.TokenTime, e.Slots = 0, 1024
		l.noError(e.Start("127.0.0.1:0"))
		l.engines = append(l.engines, e)
		upstreams = append(upstreams, settings.Upstream{
			Name: ident.VM(fmt.Sprint("w", i)), Address: e.Address(), Hall: "h", Domain: "d", Accelerators: 8, ChecksOrders: true,
		})
	}
	addresses := map[ident.Daemon]string{}
	for i := range daemons {
		name := ident.Daemon(fmt.Sprint("d", i))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		l.noError(err)
		addresses[name] = ln.Addr().String()
		l.noError(ln.Close())
		l.names = append(l.names, name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	root := b.TempDir()
	for _, name := range l.names {
		cfg := settings.Default()
		cfg.Name, cfg.Region, cfg.Hall = name, "r", "h"
		cfg.Addresses = settings.Addresses{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: addresses[name]}
		cfg.DataFolder = filepath.Join(root, string(name))
		cfg.ControlMembers = l.names[:min(3, len(l.names))]
		for _, other := range l.names {
			if other != name {
				cfg.Peers = append(cfg.Peers, settings.Peer{Name: other, Address: addresses[other], Hall: "h"})
			}
		}
		cfg.Customers = []settings.Customer{{Name: "cust", KeyHashes: []string{keys.Hash(l.customerKey)}}}
		cfg.Operators = []settings.Operator{{Name: "op", KeyHash: keys.Hash(l.operatorKey)}}
		cfg.Upstreams = upstreams
		d, err := daemon.New(&cfg, daemon.TCPNetwork())
		l.noError(err)
		l.daemons = append(l.daemons, d)
		wg.Go(func() { _ = d.Run(ctx) })
	}
	l.stop = func() {
		cancel()
		wg.Wait()
		for _, e := range l.engines {
			e.Kill()
		}
	}
	l.waitFor(func() bool {
		return !slices.ContainsFunc(l.daemons, func(d *daemon.Daemon) bool {
			st, err := l.client(d).Status(context.Background())
			return err != nil || !st.Serving || st.Leader == ""
		})
	})
	return l
}

func (l *benchCluster) noError(err error) {
	l.b.Helper()
	if err != nil {
		l.b.Fatal(err)
	}
}

func (l *benchCluster) waitFor(condition func() bool) {
	l.b.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.b.Fatal("condition does not hold after 30 s")
}

func (l *benchCluster) client(d *daemon.Daemon) *operator.Client {
	return operator.NewClient("http://"+d.OperatorAddress(), l.operatorKey)
}

func (l *benchCluster) createGroup(group ident.Group) {
	l.b.Helper()
	_, err := l.client(l.daemons[0]).Change(context.Background(), &operator.Change{
		ID: ident.NewChange(), Create: &fleet.GroupSpec{Name: group, Model: "m", Size: 1},
	})
	l.noError(err)
	l.waitFor(func() bool {
		g, err := l.client(l.daemons[0]).Group(context.Background(), group)
		return err == nil && g.Whole
	})
}

// BenchmarkChangeInForceOn9 times a change from its submission until nine daemons serve by it.
func BenchmarkChangeInForceOn9(b *testing.B) {
	l := newBenchCluster(b, 9, 1)
	defer l.stop()
	client := l.client(l.daemons[0])
	// The VM is registered before its labels are changed.
	l.waitFor(func() bool {
		_, err := client.VM(context.Background(), "w0")
		return err == nil
	})
	var slowest time.Duration
	n := 0
	for b.Loop() {
		n++
		start := time.Now()
		revision, err := client.Change(context.Background(), &operator.Change{
			ID: ident.NewChange(), Label: &operator.LabelChange{VM: "w0", Set: map[string]string{"n": fmt.Sprint(n)}},
		})
		l.noError(err)
		inForce, err := client.Wait(context.Background(), revision, "30s")
		l.noError(err)
		if !inForce.Done {
			b.Fatal("change is not in force after 30 s")
		}
		slowest = max(slowest, time.Since(start))
	}
	b.ReportMetric(slowest.Seconds()*1000, "slowest-ms")
}

// cpuTime returns the CPU time of this process, which runs caller, engine, and daemon or proxy.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const streamTokens = 100

// timeToFirstByte sends body, reads the whole response and returns the time until its first byte.
func timeToFirstByte(b *testing.B, client *http.Client, url, key string, body []byte) time.Duration {
	b.Helper()
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	w, err := client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer w.Body.Close()
	var first [1]byte
	if _, err := io.ReadFull(w.Body, first[:]); err != nil || w.StatusCode != http.StatusOK {
		b.Fatalf("status %d, error %v", w.StatusCode, err)
	}
	firstByte := time.Since(start)
	_, _ = io.Copy(io.Discard, w.Body)
	return firstByte
}

func benchmarkRequests(b *testing.B, url, key string, body []byte) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	timeToFirstByte(b, client, url, key, body)
	cpuBefore := cpuTime()
	var firstBytes []time.Duration
	n := 0
	for b.Loop() {
		n++
		firstBytes = append(firstBytes, timeToFirstByte(b, client, url, key, body))
	}
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(n), "cpu-µs/op")
	slices.Sort(firstBytes)
	b.ReportMetric(float64(firstBytes[len(firstBytes)/2].Microseconds()), "first-byte-µs")
}

// BenchmarkThrough compares a response from the engine itself, through the standard library's reverse proxy, and through a
// daemon.
func BenchmarkThrough(b *testing.B) {
	for _, c := range []struct {
		tokens    int
		tokenTime time.Duration
	}{{1, 0}, {streamTokens, 0}, {streamTokens, time.Millisecond}} {
		tokens, name := c.tokens, fmt.Sprint(c.tokens, "-tokens")
		if c.tokenTime > 0 {
			name += "-one-by-one"
		}
		l := newBenchCluster(b, 1, 1)
		l.engines[0].TokenTime = c.tokenTime
		l.createGroup("g")
		g, err := l.client(l.daemons[0]).Group(context.Background(), "g")
		l.noError(err)
		direct, _ := json.Marshal(engine.GenerateRequest{Request: "r", Group: "g", Epoch: g.Epoch, Model: "m", Prompt: []byte(`"p"`), MaxTokens: ident.Tokens(tokens)})
		request, _ := json.Marshal(map[string]any{"model": "m", "prompt": "p", "max_tokens": tokens, "stream": true})
		target, _ := url.Parse("http://" + l.engines[0].Address())
		proxy := &http.Server{Handler: &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) }, FlushInterval: -1}} //nolint:gosec // a bench's server
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		l.noError(err)
		go func() { _ = proxy.Serve(ln) }()
		for _, path := range []struct {
			name string
			url  string
			body []byte
		}{
			{"engine", target.String() + engine.PathGenerate, direct},
			{"proxy", "http://" + ln.Addr().String() + engine.PathGenerate, direct},
			{"daemon", "http://" + l.daemons[0].CallerAddress() + "/v1/completions", request},
		} {
			b.Run(name+"/"+path.name, func(b *testing.B) { benchmarkRequests(b, path.url, l.customerKey, path.body) })
		}
		_ = proxy.Close()
		l.stop()
	}
}

// BenchmarkClaims sends requests with an idempotency key, one at a time and many at once.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 256} {
		b.Run(fmt.Sprint(callers, "-at-once"), func(b *testing.B) {
			l := newBenchCluster(b, 3, 1)
			defer l.stop()
			l.createGroup("g")
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			body, _ := json.Marshal(map[string]any{"model": "m", "prompt": "p", "max_tokens": 1})
			indexes := make(chan int)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for n := range indexes {
						r, _ := http.NewRequest(http.MethodPost, "http://"+l.daemons[n%3].CallerAddress()+"/v1/completions", bytes.NewReader(body))
						r.Header.Set("Authorization", "Bearer "+l.customerKey)
						r.Header.Set("Idempotency-Key", fmt.Sprint("k", n))
						w, err := client.Do(r)
						if err != nil {
							b.Error(err)
							continue
						}
						_, _ = io.Copy(io.Discard, w.Body)
						w.Body.Close()
						if w.StatusCode != http.StatusOK {
							b.Errorf("status %d", w.StatusCode)
						}
					}
				})
			}
			n := 0
			for b.Loop() {
				n++
				indexes <- n
			}
			close(indexes)
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}
