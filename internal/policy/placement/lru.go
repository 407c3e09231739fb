package placement

import "container/list"

// lru is a map of bounded size that evicts the least recently used key.
type lru[K comparable, V any] struct {
	size  int
	order *list.List // Elements are *lruEntry[K, V]; most recently used first.
	items map[K]*list.Element
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](size int) *lru[K, V] {
	return &lru[K, V]{size: size, order: list.New(), items: make(map[K]*list.Element)}
}

// get returns the value of a key and marks it as most recently used.
func (l *lru[K, V]) get(key K) (V, bool) {
	element, ok := l.items[key]
	if !ok {
		var none V
		return none, false
	}
	l.order.MoveToFront(element)
	return element.Value.(*lruEntry[K, V]).value, true
}

// put sets the value of a key and marks it as most recently used.
func (l *lru[K, V]) put(key K, value V) {
	if element, ok := l.items[key]; ok {
		element.Value.(*lruEntry[K, V]).value = value
		l.order.MoveToFront(element)
		return
	}
	l.items[key] = l.order.PushFront(&lruEntry[K, V]{key: key, value: value})
	if l.order.Len() <= l.size {
		return
	}
	oldest := l.order.Back()
	l.order.Remove(oldest)
	delete(l.items, oldest.Value.(*lruEntry[K, V]).key)
}

func (l *lru[K, V]) len() int {
	return l.order.Len()
}
