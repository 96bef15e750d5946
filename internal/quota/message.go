package quota

import "time"

// Request is sent by an instance to the coordinator. An instance has at most one
// outstanding request and ignores the reply to an earlier one. So a request proves that
// no earlier reply will change the shares of the organisations that it lists.
type Request struct {
	Instance    string
	Incarnation string // differs for each start of the process
	Token       uint64 // the highest one that the instance has seen
	Seq         uint64 // grows with each request of the process
	// Full means that Asks lists all that the instance holds. It is set until the first
	// reply with grants under Token.
	Full bool
	Asks []Ask
}

// Ask states what an instance holds and needs of one organisation.
type Ask struct {
	Organisation string  `json:"O"`
	Rate         float64 `json:"R,omitempty"` // of the share that it holds, as a part of the limit
	Cap          float64 `json:"C,omitempty"` // likewise
	Permits      float64 `json:"P,omitempty"` // single permits that it holds
	Demand       float64 `json:"D,omitempty"` // operations per second that callers send
	Need         int     `json:"N,omitempty"` // operations that wait for a permit
}

// Reply is the coordinator's answer.
type Reply struct {
	Token uint64
	Seq   uint64 // of the request
	// Granting means that Grants replaces the shares of the listed organisations.
	// Otherwise the instance keeps what it holds until that expires.
	Granting bool
	// Stopping means that the coordinator grants nothing any more.
	Stopping bool
	Validity time.Duration // of the shares, from when the request was sent
	Grants   []Grant
}

// Grant is the share of an instance of one organisation.
type Grant struct {
	Organisation string  `json:"O"`
	Rate         float64 `json:"R,omitempty"`
	Cap          float64 `json:"C,omitempty"`
	Permits      int     `json:"P,omitempty"` // single permits
	Basis        Limit   `json:"B"`           // the limit that was divided
	// RetryAfter is when the permits that are missing will exist. It is 0 if none is
	// missing, or if the operations should wait and the instance ask again.
	RetryAfter time.Duration `json:"A,omitempty"`
}

// IsValid reports whether the numbers are in range.
func (r Reply) IsValid() bool {
	for _, g := range r.Grants {
		if !(g.Rate >= 0 && g.Rate <= 1 && g.Cap >= 0 && g.Cap <= 1) || g.Permits < 0 || g.RetryAfter < 0 {
			return false
		}
	}
	return r.Validity <= ShareValidity
}
