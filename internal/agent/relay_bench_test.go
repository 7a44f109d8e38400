package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/engine"
)

// BenchmarkRelay measures the cost of relaying one token of a stream.
func BenchmarkRelay(b *testing.B) {
	set := setID("1")
	var body strings.Builder
	for i := range b.N {
		_, _ = fmt.Fprintf(&body, "data: {\"id\":\"chatcmpl-1767225600000000000\",\"object\":\"chat.completion.chunk\",\"created\":1767225600,"+
			"\"model\":\"m\",\"system_fingerprint\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token-%d \"},\"finish_reason\":null}]}\n\n", set, i)
	}
	body.WriteString("data: [DONE]\n\n")
	a := &Agent{state: newState(DefaultSettings(), time.Now())}
	s := &stream{agent: a, w: &recorder{header: http.Header{}}, attempt: &attempt{model: "m"}, header: http.Header{}}
	s.attempt.request.Set = set
	s.header.Set(engine.HeaderWeightsSet, set)
	b.ReportAllocs()
	b.ResetTimer()
	if err := s.relay(strings.NewReader(body.String())); err != nil {
		b.Fatal(err)
	}
}
