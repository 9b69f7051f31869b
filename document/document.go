// Package document strictly decodes JSON from untrusted sources. It rejects what
// the standard decoder accepts: unknown and duplicate fields, text that cannot be
// kept as it is, nesting deeper than MaxDepth, and data after the value.
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
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// MaxDepth is the maximum nesting depth of objects and arrays.
const MaxDepth = 16

// ErrMalformed means that a document cannot be decoded.
var ErrMalformed = errors.New("document: malformed")

// Decode decodes data into out.
func Decode(data []byte, out any) error {
	if err := CheckText(data); err != nil {
		return err
	}
	if err := checkStructure(data); err != nil {
		return errors.Mark(err, ErrMalformed)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return errors.Mark(errors.Wrap(err, "decode JSON"), ErrMalformed)
	}
	return nil
}

// CheckText returns an error that matches [ErrMalformed] if a JSON document has text in which the
// standard decoder replaces characters: bytes that are not UTF-8, or an escape of half a
// surrogate pair.
func CheckText(data []byte) error {
	if !utf8.Valid(data) {
		return errors.Mark(errors.New("the text is not valid UTF-8"), ErrMalformed)
	}
	high := false // an escape of the first half of a pair comes before
	for i := 0; i < len(data); i++ {
		r := escapedSurrogate(data[i:])
		if high != (r >= firstLow) {
			return errors.Mark(errors.New("the text has half a surrogate pair"), ErrMalformed)
		}
		high = r > 0 && r < firstLow
		switch {
		case r > 0:
			i += escapeBytes - 1
		case data[i] == '\\':
			i++ // the escaped character
		}
	}
	if high {
		return errors.Mark(errors.New("the text has half a surrogate pair"), ErrMalformed)
	}
	return nil
}

const (
	escapeBytes                        = 6 // of an escape by number
	firstHigh, firstLow, lastSurrogate = 0xd800, 0xdc00, 0xdfff
)

// escapedSurrogate returns the half of a surrogate pair that the data begins with as an escape,
// or 0.
func escapedSurrogate(data []byte) uint64 {
	if len(data) < escapeBytes || data[0] != '\\' || data[1] != 'u' {
		return 0
	}
	r, err := strconv.ParseUint(string(data[2:escapeBytes]), 16, 16)
	if err != nil || r < firstHigh || r > lastSurrogate {
		return 0
	}
	return r
}

// container is an object or array that has not ended yet.
type container struct {
	object    bool            // false for an array
	expectKey bool            // the next token of the object is a key
	keys      map[string]bool // of the object so far
}

// checkStructure reads the tokens of data and checks for excessive nesting,
// duplicate fields and trailing data.
func checkStructure(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var stack []container
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			if len(stack) > 0 || d.InputOffset() == 0 {
				return errors.New("the JSON ends before the value is complete")
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read JSON")
		}
		stack, err = applyToken(stack, token)
		if err != nil {
			return err
		}
		if len(stack) == 0 {
			return checkTrailing(d)
		}
	}
}

// checkTrailing rejects anything but white space after the value.
func checkTrailing(d *json.Decoder) error {
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data after the JSON value")
	}
	return nil
}

// applyToken applies one token to the stack of open objects and arrays.
func applyToken(stack []container, token json.Token) ([]container, error) {
	if delim, ok := token.(json.Delim); ok {
		switch delim {
		case '{', '[':
			if len(stack) == MaxDepth {
				return nil, errors.Newf("the JSON nests deeper than %d levels", MaxDepth)
			}
			return append(stack, container{object: delim == '{', expectKey: delim == '{', keys: map[string]bool{}}), nil
		default:
			return closeContainer(stack), nil
		}
	}
	if len(stack) == 0 {
		return stack, nil
	}
	top := &stack[len(stack)-1]
	if !top.object {
		return stack, nil
	}
	if top.expectKey {
		name, _ := token.(string)
		if top.keys[name] {
			return nil, errors.Newf("field %q occurs twice", name)
		}
		top.keys[name] = true
	}
	top.expectKey = !top.expectKey
	return stack, nil
}

// closeContainer removes the innermost object or array from the stack. If it
// was the value of a field, a key comes next.
func closeContainer(stack []container) []container {
	stack = stack[:len(stack)-1]
	if len(stack) > 0 && stack[len(stack)-1].object {
		stack[len(stack)-1].expectKey = true
	}
	return stack
}
