package relay

import (
	"errors"
	"io"
	"net/http"
)

const (
	// maxAnswerBytes bounds an answer that is read completely before it is forwarded.
	maxAnswerBytes = 8 << 20
	// The parts of a body without a length grow from minPartBytes to maxPartBytes, which bounds those of others, too.
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
)

// answerBody is the complete body of an answer, in parts: a body without a length would be copied each time that it outgrows its memory.
type answerBody [][]byte

// size returns the bytes of the body.
func (b answerBody) size() int {
	size := 0
	for _, part := range b {
		size += len(part)
	}
	return size
}

// readAnswerBody reads the body of an answer.
func readAnswerBody(resp *http.Response) (answerBody, error) {
	switch {
	case resp.Body == http.NoBody:
		return nil, nil
	case resp.ContentLength > maxAnswerBytes:
		return nil, errAnswerTooLong
	}
	var body answerBody
	for size := 0; ; {
		part, err := readPart(resp.Body, partSize(resp.ContentLength, size))
		body = append(body, part)
		size += len(part)
		switch {
		case size > maxAnswerBytes:
			return nil, errAnswerTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// partSize returns the size of the next part of a body with that length, negative if it has none, of which size bytes have been read.
func partSize(length int64, size int) int {
	next := max(minPartBytes, size)
	if length >= 0 {
		next = max(1, int(length)-size)
	}
	return min(next, maxPartBytes)
}

// readPart reads the next part of a body. It returns io.EOF if that is the last one.
func readPart(body io.Reader, size int) (part []byte, err error) {
	part = make([]byte, 0, size)
	for len(part) < cap(part) && err == nil {
		var n int
		n, err = body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
	}
	return part, err
}
