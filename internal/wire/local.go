package wire

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// localClient implements HTTPClient by calling the handler of a server in the same
// process. Messages are encoded and decoded as on a connection. The handler runs
// on the caller's goroutine, because goroutine switches cost more than the call
// itself on a busy machine.
type localClient struct{ server *Server }

// Do implements HTTPClient.
func (c localClient) Do(req *http.Request) (resp *http.Response, err error) {
	// As on a connection, the handler's context ends with the call.
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer func() {
		if p := recover(); p != nil {
			resp, err = nil, fmt.Errorf("handler of %s panicked: %v", req.URL.Path, p)
		}
	}()
	w := &localResponse{header: make(http.Header, 4), status: http.StatusOK}
	c.server.http.Handler.ServeHTTP(w, req.WithContext(ctx))
	return &http.Response{
		StatusCode: w.status, Header: w.header, Body: w, ContentLength: int64(len(w.unread)), Request: req,
	}, nil
}

// localResponse records a response and then serves as its body.
type localResponse struct {
	header http.Header
	status int
	wrote  bool
	unread []byte
}

// Header implements http.ResponseWriter.
func (w *localResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *localResponse) WriteHeader(status int) {
	if !w.wrote {
		w.wrote, w.status = true, status
	}
}

// Write implements http.ResponseWriter.
func (w *localResponse) Write(b []byte) (int, error) {
	w.wrote = true
	w.unread = append(w.unread, b...)
	return len(b), nil
}

// Read implements io.Reader.
func (w *localResponse) Read(b []byte) (int, error) {
	if len(w.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(b, w.unread)
	w.unread = w.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (w *localResponse) Close() error { return nil }
