package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1/controlv1connect"
)

// payloadBytes is the body size of a request and of a response.
const payloadBytes = 512

// responder responds to each request with a body of payloadBytes, over all
// transports under comparison.
type responder struct {
	controlv1connect.UnimplementedFenceHandler
}

func (responder) Ask(context.Context, *connect.Request[controlv1.AskRequest]) (*connect.Response[controlv1.AskReply], error) {
	return connect.NewResponse(&controlv1.AskReply{Answer: &controlv1.Answer{Body: make([]byte, payloadBytes)}}), nil
}

func (responder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = w.Write(make([]byte, payloadBytes))
}

// BenchmarkTransport compares a round trip over pooled HTTP/1.1 connections, HTTP/2
// without TLS, and connect.
func BenchmarkTransport(b *testing.B) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	router := http.NewServeMux()
	router.Handle("/", responder{})
	router.Handle(controlv1connect.NewFenceHandler(responder{}, uncompressed...))
	server := httptest.NewUnstartedServer(router)
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()

	h2 := &http.Protocols{}
	h2.SetUnencryptedHTTP2(true)
	http1 := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerNode, DisableCompression: true}}
	http2 := &http.Client{Transport: &http.Transport{Protocols: h2, DisableCompression: true}}
	fence := controlv1connect.NewFenceClient(http2, server.URL, uncompressedClient...)

	plain := func(client *http.Client) func(ctx context.Context) error {
		return func(ctx context.Context) error {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, bytes.NewReader(make([]byte, payloadBytes)))
			if err != nil {
				return err
			}
			response, err := client.Do(request)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			return err
		}
	}
	calls := map[string]func(ctx context.Context) error{
		"http1": plain(http1),
		"h2c":   plain(http2),
		"connect": func(ctx context.Context) error {
			_, err := fence.Ask(ctx, connect.NewRequest(&controlv1.AskRequest{Attempt: string(make([]byte, payloadBytes))}))
			return err
		},
	}
	for name, call := range calls {
		b.Run(name+"/serial", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, call(b.Context()))
			}
		})
		b.Run(name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					require.NoError(b, call(b.Context()))
				}
			})
		})
	}
}
