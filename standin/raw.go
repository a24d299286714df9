package standin

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
)

// ListenRaw listens on a free loopback port and has serve write the raw answer to each request to conn. n counts the requests
// on all connections from 1; a connection stays open while serve returns true. Closing ln ends the listener.
func ListenRaw(serve func(n int, conn net.Conn, r *http.Request) (keepOpen bool)) (ln net.Listener, requests *atomic.Int64, err error) {
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
