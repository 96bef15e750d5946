package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

type request struct {
	sql   string
	write bool
}

// statements generates the requests of one caller. Statement templates may
// contain the placeholders {row} (a row number), {caller} (the caller's name),
// {key} (unique across all runs) and {n} (the number of the caller's request).
type statements struct {
	scenario *Scenario
	class    *Class
	caller   string
	run      string
	rng      *rand.Rand
	requests int
}

func (s *statements) next() request {
	s.requests++
	r := request{write: s.rng.Float64() >= s.class.ReadShare}
	templates := s.class.Reads
	if r.write {
		templates = s.class.Writes
	}
	row := s.rng.IntN(s.scenario.Rows)
	key := fmt.Sprintf("%s-%s-%d", s.run, s.caller, s.requests)
	r.sql = expandPlaceholders(templates[s.rng.IntN(len(templates))], row, s.requests, s.caller, key)
	requestKey := ""
	if r.write && s.class.RequestKeys {
		requestKey = key
	}
	r.sql = directive(s.scenario.Partitions, row, requestKey) + r.sql
	return r
}

func expandPlaceholders(sql string, row, n int, caller, key string) string {
	return strings.NewReplacer("{row}", strconv.Itoa(row), "{n}", strconv.Itoa(n), "{caller}", caller, "{key}", key).Replace(sql)
}

// directive returns the SQL comment that carries the partition key and the
// request key, if any.
func directive(partitions, row int, key string) string {
	var words []string
	if partitions > 0 {
		words = append(words, "partition="+partitionName(row%partitions))
	}
	if key != "" {
		words = append(words, "key="+key)
	}
	if len(words) == 0 {
		return ""
	}
	return "/* geraniumbeam " + strings.Join(words, " ") + " */ "
}

func partitionName(i int) string { return fmt.Sprintf("p%d", i) }
