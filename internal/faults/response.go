package faults

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Response is a response as it is sent, and the end of its connection.
type Response struct {
	Name   string
	Text   string
	Closes bool // the connection is closed after the text
	Resets bool // the connection is reset after the text
	Cut    bool // the head is sound, the body is not complete
}

// Send writes the response.
func (r Response) Send(conn *net.TCPConn) {
	_, _ = io.WriteString(conn, r.Text) // fails only if the client has given up
	if r.Resets {
		_ = conn.SetLinger(0) // fails only on a closed connection, like Close
	}
	if r.Closes || r.Resets {
		_ = conn.Close()
	}
}

// framings are the ways to state the end of a body.
var framings = []struct {
	name   string
	fields func(body string) string
	encode func(body string) string
	closes bool
}{
	{"length", func(b string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(b)) }, func(b string) string { return b }, false},
	{"chunks", func(string) string { return "Transfer-Encoding: chunked\r\n" }, func(b string) string { return encodeChunk(b) + "0\r\n\r\n" }, false},
	{"trailer", func(string) string { return "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n" }, func(b string) string {
		return encodeChunk(b[:len(b)/2]) + encodeChunk(b[len(b)/2:]) + "0\r\nX-T: a\r\n\r\n"
	}, false},
	{"end of the connection", func(string) string { return "" }, func(b string) string { return b }, true},
}

func encodeChunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// SoundResponses returns responses with a status and its reason, some fields and a body of
// several bytes, in the forms that HTTP allows.
func SoundResponses(status, fields, body string) []Response {
	var out []Response
	for _, f := range framings {
		rest := "\r\n" + fields + f.fields(body) + "\r\n" + f.encode(body)
		for _, start := range []string{
			"HTTP/1.1 " + status,
			"HTTP/1.1 " + status[:3],
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 " + status,
			"HTTP/1.1 " + status + "\r\n!#$%&'*+-.^_`|~09az: \xe9\t\"a: b\"\r\nX-Empty:",
		} {
			out = append(out, Response{Name: fmt.Sprintf("%s, %.40q", f.name, start), Text: start + rest, Closes: f.closes})
		}
	}
	return out
}

// BrokenResponses returns the responses of SoundResponses, each broken in one way.
func BrokenResponses(status, fields, body string) []Response {
	var out []Response
	line := "HTTP/1.1 " + status + "\r\n"
	for _, f := range framings {
		rest := fields + f.fields(body) + "\r\n" + f.encode(body)
		for _, head := range []string{
			"HTTP/1.1 000 OK\r\n", "HTTP/1.1 000\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 000 OK\r\n\r\n" + line,
			line + "X A: b\r\n", line + "X-A : b\r\n", line + "Content-Length : 2\r\n", line + "Transfer-Encoding : chunked\r\n",
			line + "X\x01A: b\r\n", line + "X\x00A: b\r\n", line + "X-A: b\r\n Content-Length: 2\r\n", line + "X-A: b\x01\r\n",
		} {
			out = append(out, Response{Name: fmt.Sprintf("%s, %q", f.name, head), Text: head + rest, Closes: f.closes})
		}
		whole := line + rest
		start, last := len(whole)-len(f.encode(body))+1, len(whole)-1
		for _, n := range []int{start, (start + last) / 2, last} {
			out = append(out, Response{Name: fmt.Sprintf("%s, reset after %d bytes", f.name, n), Text: whole[:n], Resets: true, Cut: true})
			if !f.closes {
				out = append(out, Response{Name: fmt.Sprintf("%s, closed after %d bytes", f.name, n), Text: whole[:n], Closes: true, Cut: true})
			}
		}
	}
	chunked := strings.Replace(line, "HTTP/1.1", "HTTP/1.0", 1) + fields + "Transfer-Encoding: chunked\r\n"
	content := "\r\n" + encodeChunk(body) + "0\r\n\r\n"
	return append(
		out,
		Response{Name: "chunks in version 1.0", Text: chunked + content, Closes: true},
		Response{Name: "length and chunks", Text: line + fields + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" + content},
	)
}
