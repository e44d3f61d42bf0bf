package intake

import (
	"context"
	"io"
	"net"
	"net/http"
)

// connKey is the key under which the context of a request holds its Conn.
type connKey struct{}

// Serve makes a server serve connections that were accepted by a Guard.
func Serve(server *http.Server) {
	server.ConnContext = withConn
	server.Handler = trackRequests(server.Handler)
}

func withConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// trackRequests records for each connection whether its request is whole.
func trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, counted := request.Context().Value(connKey{}).(*Conn)
		if !counted {
			handler.ServeHTTP(writer, request)
			return
		}
		defer conn.setIdle()
		if request.ContentLength == 0 {
			if !conn.setPhase(phaseRunning) {
				return // the client gets no answer on a closed connection
			}
			handler.ServeHTTP(writer, request)
			return
		}
		conn.setPhase(phaseBody)
		request.Body = &trackedBody{ReadCloser: request.Body, conn: conn}
		handler.ServeHTTP(writer, request)
	})
}

// trackedBody records the end of the body of a request.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. At the end of the body it fails if the connection was closed meanwhile:
// the client gets no answer, so its request must not run.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	read, err := b.ReadCloser.Read(buffer)
	if err == io.EOF && !b.conn.setPhase(phaseRunning) {
		return read, net.ErrClosed
	}
	return read, err
}
