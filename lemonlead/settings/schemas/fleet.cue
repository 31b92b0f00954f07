// A fleet, for the capacity planner. Work is stated for one core of speed 1.
#Share: float & >=0.0 & <=1.0
#Kind: {
	cores:  int & >=1 & <=256
	speed:  *1.0 | float & >0.0 & <=100.0
	slots:  *64 | int & >=1 & <=100000   // requests that a machine holds in work or waiting; more are turned away
}
#Lane: {
	work:    duration & >0s & <=1h       // mean, of one core
	cv:      *1.0 | float & >0.0 & <=10.0 // standard deviation of the work by its mean
	goal:    duration & >0s & <=1h       // latency objective
	stop:    duration & >0s & <=1h       // deadline
	effect:  *"harmless" | "stamped" | "one-shot"
	memory:  *8s | duration & >0s & <=1h // stamped: for how long repeats are dropped
	revenue: *1.0 | float & >=0.0 & <=1000000.0
}
#Site: {
	gateways:  int & >=1 & <=1000
	instances: {[=~"^[a-z][a-z0-9-]{0,31}$"]: int & >=0 & <=10000}     // by kind
	load:      {[=~"^[a-z][a-z0-9-]{0,31}$"]: float & >=0.0 & <=1000000.0} // requests a second, by request class
}
kinds: {[=~"^[a-z][a-z0-9-]{0,31}$"]: #Kind}
lanes: {[=~"^[a-z][a-z0-9-]{0,31}$"]: #Lane}
sites: {[=~"^[a-z][a-z0-9-]{0,31}$"]: #Site}
delay: {
	within: *200us | duration & >=0s & <=1s // one way, inside a site
	across: *2ms | duration & >=0s & <=1s   // one way, between sites
}
clients: {
	retries: *1 | int & >=0 & <=10
	pause:   *100ms | duration & >=0s & <=1m // before a retry
	patience: *1.0 | float & >0.0 & <=1.0    // share of the deadline after which a client gives a try up
}
gateways: {
	lookup_cpu:  *500us | duration & >0s & <=1s // of one core, a request
	cores:       *1.0 | float & >0.0 & <=64.0
	descriptors: *1024 | int & >=32 & <=1000000
}
cold: {
	share:    *0.5 | float & >0.0 & <=1.0 // of its capacity that a machine has at its start
	warm:     *5s | duration & >0s & <=10m // from then to the whole
	multiple: *4.0 | float & >=1.0 & <=100.0
	window:   *3s | duration & >0s & <=1m
}
release: {
	steps:  *[0.04, 0.1, 0.25, 0.55, 1.0] | [...#Share] // of the fleet's places that get a machine, by stage
	caps:   *[0.08, 0.2, 0.5, 1.0, 1.0] | [...#Share]   // of the requests that a gateway took
	bake:   *1s | duration & >=0s & <=1h                // that a stage lasts at least
	window: *4s | duration & >0s & <=10m
	free:   *2 | int & >=0 & <=1000
	on:     *0.6 | #Share                               // of all gateways, one at least, to move a stage on
	back:   *0.08 | #Share                              // likewise, to send a build back
	boot:   *1s | duration & >=0s & <=10m
}
notice:      *2s | duration & >=0s & <=1m // from a machine's end or start to its place on the list
drain_grace: *250ms | duration & >=0s & <=1m
goal: service: *0.95 | #Share
