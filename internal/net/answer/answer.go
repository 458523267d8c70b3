// Package answer tells answers of HTTP/1.1 from others that package net/http reads too.
//
// What reads answers of others, such as targets, must not take a broken one for an answer: it would deliver a status, headers
// or a body that the other side did not mean. net/http is lenient in places, because clients on the web have to be. An answer
// that is broken is an error like that of a connection which has been closed.
package answer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Status codes that an answer may have.
const (
	minStatus = 100
	maxStatus = 599
)

// check returns an error if a response that net/http has read is none in HTTP/1.
func check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("the version %q is none of HTTP/1", resp.Proto)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("the status %q is none of HTTP", resp.Status)
	}
	for name := range resp.Header {
		// net/http refuses other bytes that are none of a name.
		if strings.Contains(name, " ") {
			return fmt.Errorf("the name %q of a header contains a blank", name)
		}
	}
	return nil
}

// DecodeJSON decodes a body of up to limit bytes into v. A body that is cut is an error, whatever came of it.
func DecodeJSON(body io.Reader, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("body exceeds %d bytes", limit)
	}
	return json.Unmarshal(data, v)
}
