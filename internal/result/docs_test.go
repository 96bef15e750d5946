package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/result-codes.md")

const docsPath = "../../docs/result-codes.md"

func document() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Errors that the proxy itself raises start with a code such as GB3001. Errors of the database are passed on\n")
	b.WriteString("unchanged. \"Run\" says whether the request was run: `no` is a promise that it had no effect; a site that knows\n")
	b.WriteString("better than the table says so in the error's detail. Generated from the table in `internal/result` by\n")
	b.WriteString("`go test ./internal/result -update`.\n\n")
	b.WriteString("| code | name | SQLSTATE | run | retry may help | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, i := range Table() {
		retry := "no"
		if i.Retryable {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", i.Code, i.Name, i.SQLState, i.Ran, retry, i.Meaning)
	}
	return b.String()
}

// Guards against a documented table that differs from the code.
func TestDocumentMatchesTable(t *testing.T) {
	if *update {
		if err := os.WriteFile(docsPath, []byte(document()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docsPath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != document() {
		t.Errorf("%s is out of date; run go test ./internal/result -update", docsPath)
	}
}
