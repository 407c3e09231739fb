package placement

import "container/list"

// lru is a map of bounded size that forgets the least recently used key.
type lru[K comparable, V any] struct {
	size  int
	order *list.List // Of *pair[K, V], most recently used first.
	items map[K]*list.Element
}

type pair[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](size int) *lru[K, V] {
	return &lru[K, V]{size: size, order: list.New(), items: make(map[K]*list.Element)}
}

// get returns the value of a key, which becomes the most recently used.
func (l *lru[K, V]) get(key K) (V, bool) {
	element, ok := l.items[key]
	if !ok {
		var none V
		return none, false
	}
	l.order.MoveToFront(element)
	return element.Value.(*pair[K, V]).value, true
}

// put sets the value of a key, which becomes the most recently used.
func (l *lru[K, V]) put(key K, value V) {
	if element, ok := l.items[key]; ok {
		element.Value.(*pair[K, V]).value = value
		l.order.MoveToFront(element)
		return
	}
	l.items[key] = l.order.PushFront(&pair[K, V]{key: key, value: value})
	if l.order.Len() <= l.size {
		return
	}
	oldest := l.order.Back()
	l.order.Remove(oldest)
	delete(l.items, oldest.Value.(*pair[K, V]).key)
}

func (l *lru[K, V]) len() int {
	return l.order.Len()
}
