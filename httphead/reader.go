package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
)

const (
	// bufferBytes is the size of a reader's buffer unless a head is longer; then it grows by the factor growth up to MaxBytes.
	bufferBytes = 4 << 10
	growth      = 4
)

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
	if _, _, err := rd.AwaitHead(); err != nil {
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

// AwaitHead waits until the next head is buffered, and returns its bytes, which stay there, and whether it is that of an interim response. An
// error is an *Error if the head was rejected.
func (rd *Reader) AwaitHead() (size int, interim bool, err error) {
	var c Checker
	for buffered := 0; !c.Done(); {
		if err := rd.awaitMore(buffered); err != nil {
			return 0, false, err
		}
		b, err := rd.Peek(rd.Buffered())
		if err != nil {
			return 0, false, err
		}
		n, err := c.Check(b[buffered:])
		if err != nil {
			return 0, false, err
		}
		size += n
		buffered = len(b)
	}
	return size, c.Interim(), nil
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

// grow enlarges the buffer.
func (rd *Reader) grow() {
	// The buffer is full, so that this returns all of it without reading.
	b, _ := rd.Peek(rd.Buffered())
	rest := io.MultiReader(bytes.NewReader(slices.Clone(b)), rd.conn)
	rd.Reader = bufio.NewReaderSize(rest, growth*len(b))
}
