// Package message converts between net/http and the types of the root package,
// and defines the header fields that targets propagate.
package message

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// HeaderPrefix is the prefix of the names of all header fields that nodes add.
const HeaderPrefix = "Vb-"

// hopByHop lists the hop-by-hop fields of RFC 9110, section 7.6.1, and Expect,
// which each hop handles as well.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader returns a copy of the header without hop-by-hop fields and
// without the fields that nodes add.
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

// CopyHeader copies all fields of src to dst.
func CopyHeader(dst, src map[string][]string) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
}

// RequestTarget returns the path and the query of a received request as they were
// sent.
func RequestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// URL returns the URL of an HTTP request target at an address, which net/http sends
// as it is. A request target that begins with two slashes is a path, not an
// authority.
func URL(address, target string) (*url.URL, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", address
	// An opaque URL that begins with two slashes would be sent in absolute form.
	if u.RequestURI() != target && !strings.HasPrefix(target, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = target, "", false
	}
	return u, nil
}
