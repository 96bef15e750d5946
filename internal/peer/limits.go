package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"geraniumbeam/internal/quota"
)

// PathLimits is the path for requests to the coordinator of the organisations' limits.
const PathLimits = "/peer/limits"

// LimitsRequest is a request to a coordinator.
type LimitsRequest struct {
	// Coordinator is the incarnation that the request is for. Another process may have
	// its address by now.
	Coordinator string
	quota.Request
}

// LimitsHandler serves requests to the coordinator. It responds with status 400 if the
// body is not a valid request.
func LimitsHandler(exchange func(LimitsRequest) quota.Reply) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var r LimitsRequest
		if err := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(&r); err != nil || r.Instance == "" || r.Incarnation == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the peer disconnected; it will ask again.
		_ = json.NewEncoder(w).Encode(exchange(r))
	})
}

// ExchangeLimits sends a request to a coordinator.
func (c *Client) ExchangeLimits(ctx context.Context, address string, r LimitsRequest) (quota.Reply, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return quota.Reply{}, fmt.Errorf("encode request for limits: %w", err)
	}
	var reply quota.Reply
	if err := c.call(ctx, http.MethodPost, address, PathLimits, body, &reply); err != nil {
		return quota.Reply{}, err
	}
	if !reply.IsValid() {
		return quota.Reply{}, fmt.Errorf("call peer %s: a share or its validity is out of range", address)
	}
	return reply, nil
}
