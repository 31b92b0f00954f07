// An example for the request classes of the parts catalogue: fitment and stock-check (idempotent), reserve (deduplicated).
version: "2026-12-01"
ceilings: {rule: 1000, set: 5000}

// What a batch asks is sorted below what a counter asks.
#Batch: {name: string, when: string, labels: {source: "batch"}}

rules: [
	#Batch & {
		name: "nightly-stock"
		when: """
			lookup.lane == 'fitment' &&
			lookup.key.startsWith('batch/')
			"""
		lane: "'stock-check'"
	},
	{name: "canary-keys", when: "hash(lookup.key) % 1000 < 5", labels: {canary: "yes"}},
]
