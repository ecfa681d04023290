// Package message converts between net/http and the types of the root package.
package message

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// HeaderPrefix starts the names of all header fields that nodes add.
const HeaderPrefix = "Vb-"

// hopByHop lists the fields of RFC 9110, section 7.6.1, that concern one
// connection only. Expect is handled by each hop as well.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader returns a copy of the header without fields that concern one
// connection and without the nodes' own fields.
func EndToEndHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if !strings.HasPrefix(name, HeaderPrefix) {
			out[name] = values
		}
	}
	for _, field := range in["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// CopyHeader adds all fields to the destination.
func CopyHeader(to, from map[string][]string) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// URL returns the URL of a request target at an address. A target that begins
// with two slashes is a path like any other.
func URL(address, target string) (*url.URL, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", address
	return u, nil
}
