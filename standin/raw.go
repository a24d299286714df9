package standin

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
)

// ByHand listens on a free port of the loopback and lets serve answer the n-th request that arrives, on whichever connection, by hand;
// a connection goes on while serve returns true. Close ends the listener.
func ByHand(serve func(n int, conn net.Conn, r *http.Request) (keepOpen bool)) (ln net.Listener, requests *atomic.Int64, err error) {
	ln, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, requests, serve)
		}
	}()
	return ln, requests, nil
}

func serveRaw(conn net.Conn, requests *atomic.Int64, serve func(n int, conn net.Conn, r *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !serve(int(requests.Add(1)), conn, r) {
			return
		}
	}
}
