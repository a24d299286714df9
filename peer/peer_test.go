package peer_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/gob"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

// startServer runs a server until stop is called; stop returns when the server has ended.
func startServer(t *testing.T, cfg *settings.TLS, handlers *peer.Handlers) (address string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tlsConfig, err := peer.TLSConfig(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewServer(ln, tlsConfig, handlers)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	return s.Address(), func() {
		cancel()
		<-done
	}
}

// testHandlers answers beats with revision 7 and Hello with an error.
func testHandlers() *peer.Handlers {
	return &peer.Handlers{
		Beat:  func(*peer.Beat) peer.BeatReply { return peer.BeatReply{Revision: 7} },
		Hello: func() (peer.HelloReply, error) { return peer.HelloReply{}, result.New(result.PeerRefused, "no") },
	}
}

func newTestClient(t *testing.T, address string, cfg *settings.TLS) *peer.Client {
	t.Helper()
	c := peer.NewClient(address)
	tlsConfig, err := peer.TLSConfig(cfg)
	if err != nil {
		t.Fatal(err)
	}
	c.TLS = tlsConfig
	t.Cleanup(c.Discard)
	return c
}

func sendBeat(c *peer.Client, timeout time.Duration) (ident.Revision, error) {
	reply, err := c.Beat(context.Background(), timeout, &peer.Beat{From: "a"})
	return reply.Revision, err
}

func TestCallErrors(t *testing.T) {
	address, stop := startServer(t, nil, testHandlers())
	c := newTestClient(t, address, nil)
	if revision, err := sendBeat(c, time.Minute); err != nil || revision != 7 {
		t.Fatalf("revision %d, error %v", revision, err)
	}
	if _, err := c.Hello(context.Background(), time.Minute); result.CodeOf(err) != result.PeerRefused {
		t.Errorf("call that the peer refuses: error %v, want code peer-refused", err)
	}
	if _, err := sendBeat(c, time.Minute); err != nil {
		t.Errorf("call after a refused one: %v", err)
	}
	stop()
	if _, err := sendBeat(c, time.Minute); result.CodeOf(err) != result.DaemonUnreached {
		t.Errorf("call after the peer has stopped: error %v, want code daemon-unreached", err)
	}
	// The peer restarts at the same address.
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewServer(ln, nil, testHandlers())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	if revision, err := sendBeat(c, time.Minute); err != nil || revision != 7 {
		t.Errorf("call after the peer has restarted: revision %d, error %v", revision, err)
	}
}

func TestUnansweredCallTimesOut(t *testing.T) {
	handlers := testHandlers()
	release := make(chan struct{})
	handlers.Beat = func(*peer.Beat) peer.BeatReply {
		<-release
		return peer.BeatReply{}
	}
	address, stop := startServer(t, nil, handlers)
	defer stop()
	defer close(release)
	if _, err := sendBeat(newTestClient(t, address, nil), 10*time.Millisecond); result.CodeOf(err) != result.DaemonUnreached {
		t.Errorf("call without a reply: error %v, want code daemon-unreached", err)
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	rounds := make(chan uint64, 1000)
	handlers := testHandlers()
	handlers.Deliver = func(c *peer.DeliverCall) {
		for i := range c.Messages {
			rounds <- c.Messages[i].Round
		}
	}
	address, stop := startServer(t, nil, handlers)
	defer stop()
	c := peer.NewClient(address)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	const messageCount = 200
	for i := range uint64(messageCount) {
		c.Enqueue(&quorum.Message{Round: i})
	}
	for i := range uint64(messageCount) {
		if round := <-rounds; round != i {
			t.Fatalf("received message %d, want %d", round, i)
		}
	}
	cancel()
	<-done
}

// writeCertificates creates an authority and a certificate for 127.0.0.1 that it has signed, as PEM files.
func writeCertificates(t *testing.T) *settings.TLS {
	t.Helper()
	folder := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	newKey := func() *ecdsa.PrivateKey {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	template := func(serial int64, ca bool) *x509.Certificate {
		return &x509.Certificate{
			SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			IsCA: ca, BasicConstraintsValid: ca, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		}
	}
	authorityKey, leafKey := newKey(), newKey()
	root, err := x509.CreateCertificate(rand.Reader, template(1, true), template(1, true), &authorityKey.PublicKey, authorityKey)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.CreateCertificate(rand.Reader, template(2, false), template(1, true), &leafKey.PublicKey, authorityKey)
	if err != nil {
		t.Fatal(err)
	}
	leafKeyDER, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		t.Fatal(err)
	}
	return &settings.TLS{
		Certificate: write("cert.pem", "CERTIFICATE", leaf), Key: write("key.pem", "EC PRIVATE KEY", leafKeyDER), Authority: write("root.pem", "CERTIFICATE", root),
	}
}

func TestMutualTLS(t *testing.T) {
	trusted, untrusted := writeCertificates(t), writeCertificates(t)
	address, stop := startServer(t, trusted, testHandlers())
	defer stop()
	for _, c := range []struct {
		name string
		cfg  *settings.TLS
		code result.Code
	}{
		{"certificate of the server's authority", trusted, result.OK},
		{"certificate and authority unknown to the server", untrusted, result.DaemonUnreached},
		{"certificate unknown to the server, authority known", &settings.TLS{Certificate: untrusted.Certificate, Key: untrusted.Key, Authority: trusted.Authority}, result.DaemonUnreached},
		{"no TLS", nil, result.DaemonUnreached},
	} {
		if _, err := sendBeat(newTestClient(t, address, c.cfg), 5*time.Second); result.CodeOf(err) != c.code {
			t.Errorf("%s: %v, want code %d", c.name, err, c.code)
		}
	}
	if _, err := peer.TLSConfig(&settings.TLS{Certificate: "none", Key: "none", Authority: "none"}); result.CodeOf(err) != result.SettingsValue {
		t.Errorf("missing files: error %v, want code settings-value", err)
	}
}

// fakeConn is a connection that reads from Reader and writes to Writer.
type fakeConn struct {
	io.Reader
	io.Writer
}

// Close does nothing.
func (fakeConn) Close() error { return nil }

func FuzzServe(f *testing.F) {
	var call bytes.Buffer
	e := gob.NewEncoder(&call)
	_ = e.Encode(rpc.Request{ServiceMethod: "Peer.Beat", Seq: 1})
	_ = e.Encode(peer.Beat{From: "a", Revision: 3})
	f.Add(call.Bytes())
	f.Add(call.Bytes()[:20])
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(_ *testing.T, input []byte) {
		s := rpc.NewServer()
		_ = s.RegisterName("Peer", peer.NewService(&peer.Handlers{
			Deliver: func(*peer.DeliverCall) {},
			Beat:    func(*peer.Beat) peer.BeatReply { return peer.BeatReply{} },
			Follow:  func(*peer.FollowCall) (peer.FollowReply, error) { return peer.FollowReply{}, nil },
			Propose: func(*peer.ProposeCall) peer.ProposeReply { return peer.ProposeReply{} },
			Hello:   func() (peer.HelloReply, error) { return peer.HelloReply{}, nil },
			Admit:   func(*peer.AdmitCall) peer.AdmitReply { return peer.AdmitReply{} },
		}))
		// No input may crash the process or make ServeConn block.
		s.ServeConn(fakeConn{bytes.NewReader(input), io.Discard})
	})
}
