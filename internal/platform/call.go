package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/revision"
)

// maxResponse limits the response to a call in bytes. The largest responses are
// lists: 5,000 classes of 500 bytes take less than 4 MB in base64.
const maxResponse = 64 << 20

// call is one request to the platform.
type call struct {
	name   string
	method string
	path   string
	query  url.Values
	body   []byte
	wait   time.Duration // added to the timeout
}

// do sends one call and decodes the response into out unless out is nil. After a
// conflict it stores the current object in out. It returns the platform's era when it
// responded.
func (c *Client) do(ctx context.Context, k call, out any) (era uint64, err error) {
	era, err = c.send(ctx, k, out)
	c.observeEra(era)
	if err != nil {
		c.vars.Add("failed_"+result.From(err).Code.String(), 1)
	}
	return era, err
}

func (c *Client) send(ctx context.Context, k call, out any) (era uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.wait)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		c.vars.Add("limited", 1)
		return 0, result.Errorf(result.RateLimited, "platform %s: wait for the rate limit of this instance: %w", k.name, err)
	}
	target := c.base + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return 0, result.Errorf(result.Invalid, "platform %s: %w", k.name, err)
	}
	c.vars.Add(k.name, 1)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, k.unavailable(err)
	}
	defer resp.Body.Close()
	era = revision.ParseEra(resp.Header.Get(eraHeader))
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err != nil {
		return era, k.unavailable(err)
	}
	if len(body) > maxResponse {
		return era, k.unavailable(fmt.Errorf("response exceeds %d bytes", maxResponse))
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return era, k.failure(resp.StatusCode, body, out)
	}
	if out == nil {
		return era, nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return era, k.unavailable(fmt.Errorf("decode response: %w", err))
	}
	return era, nil
}

// changesStore reports whether the call may change the store.
func (k call) changesStore() bool { return k.method != http.MethodGet }

// unavailable returns the error for a call without a usable response. A read has
// no effect; whether a change took effect is unknown.
func (k call) unavailable(err error) error {
	e := result.Errorf(result.PlatformDown, "platform %s: %w", k.name, err)
	if k.changesStore() {
		return e.WithRan(result.RanUnknown)
	}
	return e.WithRan(result.RanNo)
}

func (k call) failure(status int, body []byte, out any) error {
	var b ErrorBody
	if json.Unmarshal(body, &b) != nil || b.Message == "" {
		b.Message = strings.TrimSpace(string(body[:min(len(body), 200)]))
	}
	switch status {
	case http.StatusNotFound:
		return result.Errorf(result.NotFound, "platform %s: %s", k.name, b.Message)
	case http.StatusConflict:
		if o, ok := out.(*Object); ok && b.Current != nil {
			*o = *b.Current
		}
		return result.Errorf(result.Conflict, "platform %s: %s", k.name, b.Message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return result.Errorf(result.Invalid, "platform %s: %s", k.name, b.Message)
	case http.StatusTooManyRequests:
		return result.Errorf(result.RateLimited, "platform %s: %s", k.name, b.Message)
	default:
		return k.unavailable(fmt.Errorf("status %d: %s", status, b.Message))
	}
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, result.Errorf(result.Invalid, "encode %T: %w", v, err)
	}
	return b, nil
}
