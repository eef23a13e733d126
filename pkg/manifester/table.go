package manifester

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of parts of a table; a change copies only the parts
// that it touches.
const shardCount = 1024

// shardSeed spreads keys over shards; it differs between processes.
var shardSeed = maphash.MakeSeed()

// table is an immutable map. A new version shares every shard that did not
// change with the old one.
type table[V any] struct {
	// shards hold nil where they are empty.
	shards [shardCount]map[string]V
	// size is the number of entries.
	size int
}

func shardOf(key string) uint64 {
	return maphash.String(shardSeed, key) % shardCount
}

// get returns the value of the key.
func (t *table[V]) get(key string) (V, bool) {
	v, ok := t.shards[shardOf(key)][key]

	return v, ok
}

// each calls f for every entry in no particular order.
func (t *table[V]) each(f func(key string, v V)) {
	for _, s := range t.shards {
		for k, v := range s {
			f(k, v)
		}
	}
}

// edit builds the next version of a table.
type edit[V any] struct {
	table *table[V]
	// owned marks the shards that this edit has copied.
	owned [shardCount]bool
}

// edit returns an edit of the table, which stays as it is.
func (t *table[V]) edit() *edit[V] {
	next := *t

	return &edit[V]{
		table: &next,
	}
}

// shard returns a shard that may be changed.
func (e *edit[V]) shard(key string) map[string]V {
	i := shardOf(key)
	if e.owned[i] {
		return e.table.shards[i]
	}
	e.owned[i] = true
	s := maps.Clone(e.table.shards[i])
	if s == nil {
		s = map[string]V{}
	}
	e.table.shards[i] = s

	return s
}

func (e *edit[V]) put(key string, v V) {
	s := e.shard(key)
	if _, ok := s[key]; !ok {
		e.table.size++
	}
	s[key] = v
}

func (e *edit[V]) remove(key string) {
	if _, ok := e.table.get(key); !ok {
		return
	}
	delete(e.shard(key), key)
	e.table.size--
}
