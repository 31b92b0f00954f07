// What a gateway of ours is told beside the platform's configuration; LEMONLEAD_SETTINGS names the file.
rules?: {
	file:         string         // the set in force
	shadow?:      string         // a set that is tried beside it
	shadow_share: *0.01 | float & >=0.0 & <=0.5 // of one core, for the set that is tried
}
// The ledger that it follows: nodes named as instances are, and out there, get no new attempt.
follow?: {
	name?:   string // this gateway's in the ledger, its own only; without it the configuration's
	members: {[=~"^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,99}$"]: string} // name to host:port; more are learned
	wait:    *2s | duration & >=0s & <=10s // a start waits so long for the ledger's first word
	// The service that its requests are of, to take part in its moves; of each cluster that it may move to, the
	// zone of the instances there, or the beginning of zones' names before a star. All others are near.
	service?: string & =~"^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,99}$"
	far?:     {[=~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"]: string}
}
// Relays of a ledger, which tell what changes in the scopes that it routes to. It follows none itself then.
distribution?: {
	name?:  string // this gateway's, its own only; without it the configuration's
	region: string & =~"^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,99}$"
	scopes: [...string]
	relays: {[=~"^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,99}$"]: {
		region:  string & =~"^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,99}$"
		address: string
	}}
	wait: *2s | duration & >=0s & <=10s // a start waits so long until all was told
}
