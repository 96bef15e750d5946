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
)

// maxAnswer bounds the answer to a call in bytes. The largest answers are
// lists: 5,000 classes of 500 bytes take less than 4 MB in base64.
const maxAnswer = 64 << 20

// call is one request to the platform.
type call struct {
	name   string
	method string
	path   string
	query  url.Values
	body   []byte
	extra  time.Duration // added to the timeout
}

// do sends one call and decodes the answer into out unless out is nil. After a
// conflict the current object is decoded into out.
func (c *Client) do(ctx context.Context, k call, out any) error {
	err := c.send(ctx, k, out)
	if err != nil {
		c.vars.Add("failed_"+result.From(err).Code.String(), 1)
	}
	return err
}

func (c *Client) send(ctx context.Context, k call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.extra)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		c.vars.Add("limited", 1)
		return result.Errorf(result.RateLimited, "platform %s: call limit of this instance: %w", k.name, err)
	}
	target := c.base + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return result.Errorf(result.Invalid, "platform %s: %w", k.name, err)
	}
	c.vars.Add(k.name, 1)
	resp, err := c.http.Do(req)
	if err != nil {
		return k.down(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return k.down(err)
	}
	if len(body) > maxAnswer {
		return k.down(fmt.Errorf("answer has more than %d bytes", maxAnswer))
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return k.failure(resp.StatusCode, body, out)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return k.down(fmt.Errorf("answer is not valid: %w", err))
	}
	return nil
}

// changes reports whether the call may change the store.
func (k call) changes() bool { return k.method != http.MethodGet }

// down reports that no usable answer arrived. A read has no effect; whether a
// change took effect is unknown.
func (k call) down(err error) error {
	e := result.Errorf(result.PlatformDown, "platform %s: %w", k.name, err)
	if k.changes() {
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
		return k.down(fmt.Errorf("status %d: %s", status, b.Message))
	}
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, result.Errorf(result.Invalid, "encode %T: %w", v, err)
	}
	return b, nil
}
