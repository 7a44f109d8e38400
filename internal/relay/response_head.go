package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// errMalformedHead means that the head of an answer has an invalid status or contradictory
// framing.
var errMalformedHead = errors.New("malformed head of an answer")

// readResponseHead reads the head of an answer and checks what http.ReadResponse accepts
// although the answer has no certain meaning or end: a status outside 100 to 599, a length
// together with chunks, and the announcement of a body after a status that has none. 304, and
// any answer to HEAD, may state the length that another answer would have.
func readResponseHead(c *backendConn, method string) (*http.Response, error) {
	framing, err := c.peekFraming()
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	status := response.StatusCode
	switch {
	case network.CheckStatus(status) != nil:
		err = network.CheckStatus(status)
	case framing.malformed:
		err = errors.New("space around the name of a framing header")
	case framing.length && framing.chunks:
		err = errors.New("length together with a transfer encoding")
	case framing.announcesBody && (status/100 == 1 || status == http.StatusNoContent):
		err = fmt.Errorf("body announced for status %d", status)
	}
	if err != nil {
		return nil, errors.Join(errMalformedHead, err)
	}
	if framing.announcesBody && (status == http.StatusNotModified || method == http.MethodHead) {
		response.Close = true // some servers send the body nevertheless
	}
	return response, nil
}

// framing is what the head of an answer states about the end of its body.
type framing struct {
	length, chunks bool
	announcesBody  bool // length above zero, or chunks
	malformed      bool
}

// peekFraming reads a head and returns it to the connection. http.ReadResponse deletes the
// length from an answer that has a transfer encoding as well, so it is looked for here.
func (c *backendConn) peekFraming() (framing, error) {
	var f framing
	var head []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		head = append(head, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return f, unexpectedEOF(err, len(head))
		}
		begin := bytes.LastIndexByte(head[:len(head)-1], '\n') + 1
		if begin == 0 {
			if !bytes.HasPrefix(head, []byte("HTTP/")) {
				break // http.ReadResponse reports it without waiting for more
			}
			continue
		}
		if line = bytes.TrimRight(head[begin:], "\r\n"); len(line) == 0 {
			break
		}
		f.add(string(line))
	}
	rest, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	c.limited.unread = append(append(head, rest...), c.limited.unread...)
	c.reader.Reset(c.limited)
	return f, nil
}

func (f *framing) add(line string) {
	name, value, _ := strings.Cut(line, ":")
	trimmed := strings.ToLower(strings.TrimSpace(name))
	switch trimmed {
	case "content-length":
		f.length = true
		f.announcesBody = f.announcesBody || strings.Trim(strings.TrimSpace(value), "0") != ""
	case "transfer-encoding":
		f.chunks, f.announcesBody = true, true
	default:
		return
	}
	f.malformed = f.malformed || len(trimmed) != len(name)
}

// unexpectedEOF replaces io.EOF inside a head, of which n bytes were read.
func unexpectedEOF(err error, n int) error {
	if n > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
