package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
)

// bufferBytes is the size of a reader's buffer unless a head is longer.
const bufferBytes = 4 << 10

// Reader reads responses from a connection.
type Reader struct {
	*bufio.Reader
	conn io.Reader
}

// NewReader returns a reader of conn.
func NewReader(conn io.Reader) *Reader {
	return &Reader{bufio.NewReaderSize(conn, bufferBytes), conn}
}

// ReadResponse reads the head of the next response to r. The connection is of no further use after an error, which is an *Error if the head was
// rejected. The body of the response must be read before the next call.
func (rd *Reader) ReadResponse(r *http.Request) (*http.Response, error) {
	if err := rd.checkHead(); err != nil {
		return nil, err
	}
	return http.ReadResponse(rd.Reader, r)
}

// Shrink releases the memory that a long head needed, if nothing is buffered.
func (rd *Reader) Shrink() {
	if rd.Buffered() == 0 && rd.Size() > bufferBytes {
		rd.Reader = bufio.NewReaderSize(rd.conn, bufferBytes)
	}
}

// checkHead checks the next head while it stays in the buffer.
func (rd *Reader) checkHead() error {
	var c Checker
	for checked := 0; !c.Done(); checked = rd.Buffered() {
		if err := rd.awaitMore(checked); err != nil {
			return err
		}
		b, err := rd.Peek(rd.Buffered())
		if err != nil {
			return err
		}
		if _, err := c.Check(b[checked:]); err != nil {
			return err
		}
	}
	return nil
}

// awaitMore waits until more than n bytes are buffered.
func (rd *Reader) awaitMore(n int) error {
	if n >= rd.Size() {
		rd.grow()
	}
	_, err := rd.Peek(n + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// grow doubles the buffer.
func (rd *Reader) grow() {
	// The buffer is full, so that this returns all of it without reading.
	b, _ := rd.Peek(rd.Buffered())
	rest := io.MultiReader(bytes.NewReader(slices.Clone(b)), rd.conn)
	rd.Reader = bufio.NewReaderSize(rest, 2*len(b))
}
