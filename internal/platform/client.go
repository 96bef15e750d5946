package platform

import (
	"context"
	"expvar"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"geraniumbeam/internal/result"
)

// Defaults of Options.
const (
	DefaultRate    = 20.0 // calls per second
	DefaultBurst   = 40
	DefaultTimeout = 2 * time.Second
)

// Options configures a Client. Zero fields mean the defaults.
type Options struct {
	// Rate, in calls per second, and Burst, in calls, limit the calls of this
	// instance. A call that would exceed its deadline while it waits for the
	// limiter fails with result.RateLimited and is not sent.
	Rate  float64
	Burst int
	// Timeout limits each call. The wait of a watch is added to it.
	Timeout time.Duration
	// Transport replaces the default http.Transport if it is not nil.
	Transport http.RoundTripper
}

// Client implements API over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
	timeout time.Duration
	vars    *expvar.Map
	era     atomic.Uint64 // of the platform, the highest in a response
}

var _ API = (*Client)(nil)

// NewClient returns a client of the platform at baseURL.
func NewClient(baseURL string, opts Options) *Client {
	if opts.Rate == 0 {
		opts.Rate = DefaultRate
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	return &Client{
		base:    baseURL,
		http:    &http.Client{Transport: opts.Transport},
		limiter: rate.NewLimiter(rate.Limit(opts.Rate), opts.Burst),
		timeout: opts.Timeout,
		vars:    new(expvar.Map).Init(),
	}
}

// Names of calls, which are also the keys of their counters.
const (
	callGet       = "get"
	callList      = "list"
	callPut       = "put"
	callDelete    = "delete"
	callWatch     = "watch"
	callInstances = "instances"
	callHeartbeat = "heartbeat"
)

// Vars returns the call counters: sent calls by name, calls rejected by the rate
// limiter as "limited", and failed calls as "failed_" and the result code.
func (c *Client) Vars() expvar.Var { return c.vars }

// Calls returns the number of calls sent.
func (c *Client) Calls() int64 {
	var n int64
	for _, name := range []string{callGet, callList, callPut, callDelete, callWatch, callInstances, callHeartbeat} {
		if v, ok := c.vars.Get(name).(*expvar.Int); ok {
			n += v.Value()
		}
	}
	return n
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements API.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	era, err := c.do(ctx, call{name: callGet, method: http.MethodGet, path: objectPath(kind, name)}, &o)
	return o.withEra(era), err
}

// List implements API.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	var l ObjectList
	era, err := c.do(ctx, call{name: callList, method: http.MethodGet, path: kindPath(kind)}, &l)
	objects, version := l.withEra(era)
	return objects, version, err
}

// Put implements API. It rejects data above MaxValue with result.Invalid without
// sending a call.
func (c *Client) Put(ctx context.Context, kind, name string, version uint64, data []byte) (Object, error) {
	if len(data) > MaxValue {
		return Object{}, result.Errorf(result.Invalid, "put object %s/%s: value has %d bytes, want at most %d",
			kind, name, len(data), MaxValue)
	}
	var o Object
	k := call{
		name: callPut, method: http.MethodPut, path: objectPath(kind, name),
		query: url.Values{ParamVersion: {versionText(version)}}, body: data,
	}
	era, err := c.do(ctx, k, &o)
	if err == nil {
		err = k.checkEra(version, era)
	}
	return o.withEra(era), err
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	k := call{
		name: callDelete, method: http.MethodDelete, path: objectPath(kind, name),
		query: url.Values{ParamVersion: {versionText(version)}},
	}
	era, err := c.do(ctx, k, nil)
	if err != nil {
		return err
	}
	return k.checkEra(version, era)
}

// Watch implements API. After a restore of the platform it returns all objects, under
// the versions of the new era.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	if eraOf(after) < c.era.Load() {
		after = NoVersion
	}
	var l ObjectList
	k := call{
		name: callWatch, method: http.MethodGet, path: kindPath(kind), wait: wait,
		query: url.Values{
			ParamAfter: {versionText(after)},
			ParamWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
	}
	era, err := c.do(ctx, k, &l)
	if err == nil {
		err = k.checkEra(after, era)
	}
	if err != nil {
		return nil, after, err
	}
	objects, version := l.withEra(era)
	return objects, version, nil
}

// Instances implements API.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var l InstanceList
	_, err := c.do(ctx, call{name: callInstances, method: http.MethodGet, path: PathInstances}, &l)
	return l.Instances, err
}

// Heartbeat registers an instance in the platform's list. A platform that
// discovers instances by other means ignores it.
func (c *Client) Heartbeat(ctx context.Context, in Instance) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, call{name: callHeartbeat, method: http.MethodPost, path: PathHeartbeat, body: body}, nil)
	return err
}

func kindPath(kind string) string { return PathObjects + url.PathEscape(kind) }

func objectPath(kind, name string) string { return kindPath(kind) + "/" + url.PathEscape(name) }
