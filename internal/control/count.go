package control

import (
	"io"
	"net"
	"net/http"
)

// countingListener counts the bytes of the accepted connections.
type countingListener struct {
	net.Listener
	metrics *Metrics
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, metrics: l.metrics}, nil
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	metrics *Metrics
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.addConnection(directionIn, n)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.addConnection(directionOut, n)
	return n, err
}

// countingBody counts the bytes read from a body.
type countingBody struct {
	io.ReadCloser
	metrics *Metrics
	class   Class
}

func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.metrics.addBody(b.class, directionIn, n)
	return n, err
}

// countingWriter counts the bytes written to a response.
type countingWriter struct {
	http.ResponseWriter
	metrics *Metrics
	class   Class
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.metrics.addBody(w.class, directionOut, n)
	return n, err
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
