package exchange

import "testing"

// Guards against buffers that grew for a large head and stay that large for other requests.
func TestGrownBuffersAreNotKept(t *testing.T) {
	const buffers = 100
	for range buffers {
		grown := make([]byte, 0, maxKeptBuffer+1)
		putWriteBuffer(&grown)
	}
	for range buffers {
		if b := writeBuffers.Get().(*[]byte); cap(*b) > maxKeptBuffer {
			t.Fatalf("a buffer of %d bytes was kept", cap(*b))
		}
	}
}
