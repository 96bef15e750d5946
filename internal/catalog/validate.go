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

// Validate checks a Service, a Class or a settings struct against its validate tags.
// The error has the code result.Invalid and names field, value and constraint.
func Validate(v any) error { return validateWithSource(v, nil) }

// DecodeAndValidate decodes YAML strictly into out and checks it against its validate
// tags. Errors name line, field, value and constraint.
func DecodeAndValidate(data []byte, out any) error {
	if err := DecodeStrict(data, out); err != nil {
		return err
	}
	return validateWithSource(out, data)
}

// validateWithSource checks v. source is the YAML that v was decoded from, used for
// the line numbers in errors; it may be nil.
func validateWithSource(v any, source []byte) error {
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
	return fmt.Sprintf("%sfield %s has value %q: %s", linePrefix(path, source), path, fmt.Sprint(f.Value()), constraintText(f))
}

// linePrefix returns "line N: " for a field that the source contains, and "" for one
// that is missing.
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

func constraintText(f validator.FieldError) string {
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

// decodeYAML decodes YAML and converts a panic of the decoder into an error: version
// 1.19.2 of goccy/go-yaml panics on a tagged scalar in place of a list, such as
// "classes: !0 0".
func decodeYAML(data []byte, out any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("YAML decoder panicked: %v", p)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(out)
}

// DecodeStrict decodes YAML into out and rejects unknown fields. Errors name line
// and column.
func DecodeStrict(data []byte, out any) error {
	err := decodeYAML(data, out)
	if errors.Is(err, io.EOF) {
		return result.Errorf(result.Invalid, "the file is empty")
	}
	if message, ok := unknownFieldMessage(err, data, out); ok {
		return result.Errorf(result.Invalid, "%s", message)
	}
	if err != nil {
		return result.Errorf(result.Invalid, "%s", yaml.FormatError(err, false, true))
	}
	return nil
}
