package peer

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"geraniumbeam/internal/primacy"
)

// echoResponder answers each valid request.
type echoResponder struct{}

func (echoResponder) Snapshot(_ context.Context, q primacy.SnapshotQuery) (primacy.StoreSnapshot, bool) {
	return primacy.StoreSnapshot{Process: q.Process}, true
}

func (echoResponder) Vote(r primacy.Record) primacy.Vote { return primacy.Vote{Stopped: r.Token} }

// Guards against a request of a peer that ends the process, or that is answered although
// it names no service or revision.
func FuzzPeerRequest(f *testing.F) {
	for _, seed := range []string{
		`{"Service":"ledger","Revision":{"Era":2,"Number":7},"Token":4,"Phase":"replacing"}`, `{"Service":"ledger","Revision":7}`,
		`{"Process":"a#1","After":4,"Wait":1000}`, `{"Wait":-1}`, `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	h := Handler(echoResponder{})
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{PathVote, PathSnapshot} {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
			if w.Code != http.StatusOK && w.Code != http.StatusBadRequest {
				t.Errorf("%s: status %d", path, w.Code)
			}
		}
	})
}
