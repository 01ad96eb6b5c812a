package list

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type element struct {
	Name string `msgpack:"n"`
}

func TestRoundTrip(t *testing.T) {
	for _, want := range []List[element]{nil, {}, {{Name: "a"}, {Name: "b"}}} {
		body, err := msgpack.Marshal(want)
		require.NoError(t, err)
		plain, err := msgpack.Marshal([]element(want))
		require.NoError(t, err)
		require.Equal(t, plain, body)
		var got List[element]
		require.NoError(t, msgpack.Unmarshal(body, &got))
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, want[i], got[i])
		}
	}
}

// TestStatedLength guards against the end of the process by a message that states billions of elements and holds none.
func TestStatedLength(t *testing.T) {
	var got List[element]
	require.Error(t, msgpack.Unmarshal([]byte("\xdd\xff\xff\xff\xff"), &got))
	require.Empty(t, got)
}
