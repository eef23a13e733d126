package manifester

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of shards of a table; a change copies only the shards that it
// modifies.
const shardCount = 1024

// shardSeed is the seed of the hash that assigns keys to shards; it differs between
// processes.
var shardSeed = maphash.MakeSeed()

// table is an immutable map. A new version shares every unmodified shard with the previous
// one.
type table[V any] struct {
	// shards are nil if empty.
	shards [shardCount]map[string]V
	// size is the number of entries.
	size int
}

func shardOf(key string) uint64 {
	return maphash.String(shardSeed, key) % shardCount
}

// get returns the value of the key, and whether the key has one.
func (t *table[V]) get(key string) (V, bool) {
	v, ok := t.shards[shardOf(key)][key]

	return v, ok
}

// each calls f for every entry, in no particular order.
func (t *table[V]) each(f func(key string, v V)) {
	for _, s := range t.shards {
		for k, v := range s {
			f(k, v)
		}
	}
}

// tableEditor builds the next version of a table.
type tableEditor[V any] struct {
	table *table[V]
	// copied marks the shards of table that belong to this editor alone, which may
	// modify them.
	copied [shardCount]bool
}

// edit returns an editor of a copy of the table.
func (t *table[V]) edit() *tableEditor[V] {
	next := *t

	return &tableEditor[V]{
		table: &next,
	}
}

// shard returns the shard of the key for modification. It copies the shard first if other
// versions share it.
func (e *tableEditor[V]) shard(key string) map[string]V {
	i := shardOf(key)
	if e.copied[i] {
		return e.table.shards[i]
	}
	e.copied[i] = true
	s := maps.Clone(e.table.shards[i])
	if s == nil {
		s = map[string]V{}
	}
	e.table.shards[i] = s

	return s
}

func (e *tableEditor[V]) put(key string, v V) {
	s := e.shard(key)
	if _, ok := s[key]; !ok {
		e.table.size++
	}
	s[key] = v
}

func (e *tableEditor[V]) remove(key string) {
	if _, ok := e.table.get(key); !ok {
		return
	}
	delete(e.shard(key), key)
	e.table.size--
}
