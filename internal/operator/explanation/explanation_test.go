package explanation_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"crocuswing/internal/operator/explanation"

	"github.com/stretchr/testify/require"
)

const lines = `  10.2 front-a-1 {"ts":"2026-12-05T10:00:00.090Z","msg":"request","instance":"a-1","request-id":"q1","status":200,"took":0.076,"view-age":0.6,"route":"r","revision":9,"missing":1,"time-left":1.2,"attempts":"via b-1:8 of 9/22ms via b-2:silent open/75ms s1:u-1=open/75ms u-2=refused 503 on 41/22ms  s2:(2 more) u-3=ok/13ms denied  s3:delegated denied  "}
{"ts":"2026-12-05T10:00:00.040Z","msg":"aggregate","instance":"b-1","request-id":"q1","shards":9,"answered":8,"late":1,"took":0.02,"attempts":"s3:u-9=open/20ms  "}
{"ts":"2026-12-05T10:00:00.095Z","msg":"request","instance":"a-1","request-id":"q2","status":503}
not a log line q1
{"request-id":"q1", broken
`

func ExampleExplanation() {
	e := explanation.New("q1")
	if err := e.Read(strings.NewReader(lines)); err != nil {
		fmt.Println(err)
	}
	_ = e.Write(os.Stdout)
	// Output:
	// 10:00:00.040 b-1: gathered 8 of 9 parts for an instance of another region, 1 were late, after 20 ms
	//   service s3:
	//     upstream u-9 had not answered when the request ended (20 ms)
	// 10:00:00.090 a-1: answered 200 after 76 ms (route r, revision 9), 1 parts missing
	//   the caller waited for at most 1200 ms; the view was 600 ms old
	//   aggregator b-1 had 8 of 9 parts after 22 ms
	//   aggregator b-2 was silent and given up (75 ms)
	//   service s1:
	//     upstream u-1 had not answered when the request ended (75 ms)
	//     upstream u-2 refused with status 503 and did not run it, on connection 41 (22 ms)
	//   service s2:
	//     2 earlier attempts are not listed
	//     upstream u-3 answered (13 ms)
	//     a further attempt was denied by the retry budget
	//   service s3:
	//     delegated
	//     a further attempt was denied by the retry budget
}

func TestUnknownRequest(t *testing.T) {
	e := explanation.New("q3")
	require.NoError(t, e.Read(strings.NewReader(lines)))
	require.True(t, e.IsEmpty())
}

// TestLongLine checks that a line beyond the limit is reported, since it may be one of the request.
func TestLongLine(t *testing.T) {
	e := explanation.New("q1")
	require.Error(t, e.Read(strings.NewReader(strings.Repeat("x", 2<<20))))
}

func FuzzRead(f *testing.F) {
	f.Add(lines)
	f.Add(`{"request-id":"q1","msg":"request","attempts":"via :/0ms :=/1ms ms denied ms"}`)
	f.Fuzz(func(t *testing.T, text string) {
		e := explanation.New("q1")
		if e.Read(strings.NewReader(text)) == nil {
			require.NoError(t, e.Write(&strings.Builder{}))
		}
	})
}
