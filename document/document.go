// Package document decodes JSON that comes from outside. It refuses what the
// standard decoder lets pass: unknown and repeated fields, text that is not
// UTF-8, nesting beyond a bound, and anything after the value.
//
// # Usage
//
//	var body struct{ Team string `json:"team"` }
//	if err := document.Decode(data, &body); err != nil {
//		return refusal.New(refusal.BadRequest, "%v", err)
//	}
package document

import (
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// MaxDepth is how deeply objects and arrays may nest.
const MaxDepth = 16

// ErrMalformed says that a document cannot be decoded.
var ErrMalformed = errors.New("document: malformed")

// Decode decodes data into out.
func Decode(data []byte, out any) error {
	if !utf8.Valid(data) {
		return errors.Mark(errors.New("the text is not valid UTF-8"), ErrMalformed)
	}
	if err := checkShape(data); err != nil {
		return errors.Mark(err, ErrMalformed)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return errors.Mark(errors.Wrap(err, "decode JSON"), ErrMalformed)
	}
	return nil
}

// level is an object or array that is being read.
type level struct {
	object  bool
	wantKey bool
	keys    map[string]bool
}

// checkShape reads the tokens of data and checks nesting and repeated fields.
func checkShape(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var stack []level
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			if len(stack) > 0 || d.InputOffset() == 0 {
				return errors.New("the JSON ends too early")
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read JSON")
		}
		stack, err = step(stack, token)
		if err != nil {
			return err
		}
		if len(stack) == 0 {
			return checkEnd(d)
		}
	}
}

// checkEnd refuses anything but white space after the value.
func checkEnd(d *json.Decoder) error {
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is more after the JSON value")
	}
	return nil
}

// step applies one token to the open objects and arrays.
func step(stack []level, token json.Token) ([]level, error) {
	if delim, ok := token.(json.Delim); ok {
		switch delim {
		case '{', '[':
			if len(stack) == MaxDepth {
				return nil, errors.Newf("the JSON nests deeper than %d levels", MaxDepth)
			}
			return append(stack, level{object: delim == '{', wantKey: delim == '{', keys: map[string]bool{}}), nil
		default:
			return closeLevel(stack), nil
		}
	}
	if len(stack) == 0 {
		return stack, nil
	}
	top := &stack[len(stack)-1]
	if !top.object {
		return stack, nil
	}
	if top.wantKey {
		name, _ := token.(string)
		if top.keys[name] {
			return nil, errors.Newf("field %q is given twice", name)
		}
		top.keys[name] = true
	}
	top.wantKey = !top.wantKey
	return stack, nil
}

// closeLevel ends the innermost object or array, which is a value of the next.
func closeLevel(stack []level) []level {
	stack = stack[:len(stack)-1]
	if len(stack) > 0 && stack[len(stack)-1].object {
		stack[len(stack)-1].wantKey = true
	}
	return stack
}
