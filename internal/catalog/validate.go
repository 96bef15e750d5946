package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"geraniumbeam/internal/result"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

// Validate checks a Service, a Class or a settings struct by its validate tags.
// The error carries result.Invalid and names field, value and what is allowed.
func Validate(v any) error { return validateAt(v, nil) }

// DecodeAndValidate reads YAML strictly into out and checks it by its validate tags.
// Errors name line, field, value and what is allowed.
func DecodeAndValidate(data []byte, out any) error {
	if err := DecodeStrict(data, out); err != nil {
		return err
	}
	return validateAt(out, data)
}

// validateAt checks v; source, if not nil, is the YAML it was read from and
// gives the lines in errors.
func validateAt(v any, source []byte) error {
	err := validate.Struct(v)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return result.Errorf(result.Invalid, "%w", err)
	}
	msgs := make([]string, 0, len(fields))
	for _, f := range fields {
		msgs = append(msgs, fieldMessage(f, source))
	}
	return result.Errorf(result.Invalid, "%s", strings.Join(msgs, "; "))
}

func fieldMessage(f validator.FieldError, source []byte) string {
	path := f.Namespace()
	if _, rest, ok := strings.Cut(path, "."); ok {
		path = rest
	}
	return fmt.Sprintf("%sfield %s has value %q: %s", linePrefix(path, source), path, fmt.Sprint(f.Value()), allowed(f))
}

// linePrefix returns "line N: " for a field that the source contains. A
// missing field has no line.
func linePrefix(path string, source []byte) string {
	if source == nil {
		return ""
	}
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return ""
	}
	node, err := p.ReadNode(bytes.NewReader(source))
	if err != nil || node == nil || node.GetToken() == nil {
		return ""
	}
	return fmt.Sprintf("line %d: ", node.GetToken().Position.Line)
}

func allowed(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "a value is required"
	case "oneof":
		return "want one of " + strings.Join(strings.Fields(f.Param()), ", ")
	case "gt":
		return "want more than " + f.Param()
	case "gte":
		return "want at least " + f.Param()
	case "lt":
		return "want less than " + f.Param()
	case "lte":
		return "want at most " + f.Param()
	case "min":
		return "want at least " + f.Param() + " entries"
	case "max":
		return "want at most " + f.Param() + " characters"
	case "hostname_port":
		return "want HOST:PORT"
	default:
		return "want " + f.Tag() + " " + f.Param()
	}
}

// decodeYAML turns a panic of the library into an error. Version 1.19.2 panics
// on a tagged scalar in place of a list, such as "classes: !0 0".
func decodeYAML(data []byte, out any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("the YAML library cannot read the file: %v", p)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(out)
}

// DecodeStrict reads YAML into out and refuses unknown fields. Errors name line
// and column.
func DecodeStrict(data []byte, out any) error {
	err := decodeYAML(data, out)
	if errors.Is(err, io.EOF) {
		return result.Errorf(result.Invalid, "the file is empty")
	}
	if message, ok := unknownField(err, data, out); ok {
		return result.Errorf(result.Invalid, "%s", message)
	}
	if err != nil {
		return result.Errorf(result.Invalid, "%s", yaml.FormatError(err, false, true))
	}
	return nil
}
