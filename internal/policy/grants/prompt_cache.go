package grants

import (
	"container/list"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// promptCache estimates which prompt parts an engine has cached: the most
// recently used ones, up to a capacity in tokens.
type promptCache struct {
	capacity int        // In tokens.
	total    int        // Tokens of all cached parts.
	lru      *list.List // Of *cachedPart, most recently used first.
	byPrefix map[promptPrefix]*list.Element
}

// promptPrefix identifies a part together with all parts before it, since an
// engine can reuse a part only after the same prefix.
type promptPrefix struct {
	key  catalog.AdapterKey
	path string // IDs of the parts up to this one, each followed by a comma.
}

type cachedPart struct {
	prefix promptPrefix
	tokens int
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, lru: list.New(), byPrefix: make(map[promptPrefix]*list.Element)}
}

// insert adds the parts of a prompt and returns how many of its tokens were not
// cached.
func (p *promptCache) insert(key catalog.AdapterKey, parts []PromptPart, promptTokens int) int {
	uncached, path := p.uncachedTokens(key, parts, promptTokens), ""
	for _, part := range parts {
		path += part.ID + ","
		prefix := promptPrefix{key: key, path: path}
		if e, ok := p.byPrefix[prefix]; ok {
			p.lru.MoveToFront(e)
			continue
		}
		p.byPrefix[prefix] = p.lru.PushFront(&cachedPart{prefix: prefix, tokens: part.Tokens})
		p.total += part.Tokens
	}
	p.evict()
	return uncached
}

// uncachedTokens returns how many tokens of a prompt are not cached.
func (p *promptCache) uncachedTokens(key catalog.AdapterKey, parts []PromptPart, promptTokens int) int {
	cached, path := 0, ""
	for _, part := range parts {
		path += part.ID + ","
		if _, ok := p.byPrefix[promptPrefix{key: key, path: path}]; !ok {
			break
		}
		cached += part.Tokens
	}
	return max(promptTokens-cached, 0)
}

func (p *promptCache) evict() {
	for p.total > p.capacity && p.lru.Len() > 0 {
		e := p.lru.Back()
		part := e.Value.(*cachedPart)
		p.lru.Remove(e)
		delete(p.byPrefix, part.prefix)
		p.total -= part.tokens
	}
}

func (p *promptCache) clear() {
	p.lru.Init()
	p.byPrefix = make(map[promptPrefix]*list.Element)
	p.total = 0
}
