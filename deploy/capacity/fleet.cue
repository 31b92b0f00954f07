// An example: the parts catalogue at three sites, for lemonlead capacity.
kinds: {fast: {cores: 3, speed: 1.0}, slow: {cores: 3, speed: 0.6}}
lanes: {
	fitment: {work: 180ms, goal: 1200ms, stop: 5s, revenue: 3.0}
	stock: {work: 110ms, goal: 1s, stop: 2500ms}
	reserve: {work: 110ms, goal: 1s, stop: 4s, effect: "stamped", revenue: 2.0}
}
sites: {
	louis: {gateways: 1, instances: {fast: 3, slow: 2}, load: {fitment: 17.0, stock: 14.0, reserve: 12.0}}
	ebene: {gateways: 1, instances: {fast: 2, slow: 2}, load: {fitment: 17.0, stock: 14.0, reserve: 12.0}}
	curepipe: {gateways: 1, instances: {fast: 2, slow: 2}, load: {fitment: 17.0, stock: 14.0, reserve: 12.0}}
}
