package daemon

import "github.com/marigoldlever/marigoldlever/internal/membudget"

// contentShare of the memory limit bounds the bodies of requests and the replies that this
// host holds for its callers and for other hosts.
const contentShare = membudget.BodiesShare + membudget.RepliesShare

// memory holds the budgets that the requests in progress share.
type memory struct {
	parts   membudget.Parts
	content *membudget.Budget
}

func newMemory(limit membudget.Host) memory {
	return memory{parts: limit.Parts(), content: membudget.New(limit.Share(contentShare))}
}

// reserveWork takes the memory of a number of requests to upstreams for another host, of so
// many bytes together, until the returned function is called. It reports whether it was left.
func (m memory) reserveWork(requests, bytes int) (release func(), ok bool) {
	releaseParts, ok := m.parts.Reserve(requests)
	if !ok {
		return nil, false
	}
	if !m.content.Reserve(int64(bytes)) {
		releaseParts()
		return nil, false
	}
	return func() {
		m.content.Release(int64(bytes))
		releaseParts()
	}, true
}

// copiesOf is the memory of the copies of a request's content that are sent to a number of
// services. Small content is part of the memory of the requests at upstreams.
func copiesOf(content, services int) int64 {
	const smallContent = 4 << 10
	if content <= smallContent {
		return 0
	}
	return int64(content) * int64(services)
}
