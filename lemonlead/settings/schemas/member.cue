// One member of a cluster. Addresses are ip:port, of loopback or the site's own network.
#Name: string & =~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"
cluster: #Name
member:  #Name                                 // a new one for a machine that lost its disk
data:    string & =~"^[^\\x00]{1,1000}$"       // its folder, found beside this file; one process at a time
listen:  string
reached?: string                               // where the others reach it, if that is not where it listens
members: {[=~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"]: string}       // those that form the cluster
clusters: {[=~"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"]: [...string]} // others, for moves
times: {
	election:  *1s | duration & >=100ms & <=1m   // silence after which a follower stands, spread to twice this
	heartbeat: *150ms | duration & >=10ms & <=10s
	stale:     *3s | duration & >=100ms & <=10m  // age of its state past which a member is not ready
}
// Figures that all members share. Those of the member that forms the cluster count.
terms: {
	remember:   *15m | duration & >=10m & <=24h  // for how long a command's id gets its answer again
	lease:      *10s | duration & >=3s & <=10m   // a gateway not heard of for so long is no longer waited for
	grace:      *1s | duration & >=0s & <=1m     // and this much more, for what it sent last
	cold:       *5s | duration & >=0s & <=1h     // for how long a node that came back is cold
	cold_share: *0.5 | float & >0.0 & <=1.0      // of its units that a cold node bears
}
bounds: {
	uncommitted: *1024 | int & >=1 & <=65536 // commands that wait to be committed; past it one is not done
	waiting:     *1024 | int & >=1 & <=65536 // reads that wait; likewise
	in_flight:   *4 | int & >=1 & <=64       // messages with entries to one peer that are not yet answered
	keep:        *2048 | int & >=0 & <=65536 // entries kept in memory behind a snapshot
}
